// Why a task waits that could run.
#pragma once

#include <string_view>

namespace hemlockdeal::jobs
{

// The reasons from `no_suitable_worker` to `worker_found` are obstacles to the
// start on one worker, in the order in which a start overcomes them: the
// highest one over all workers is the reason of the task.
enum class wait_reason
{
    // The run is on a worker that does not respond, and its leases have not
    // expired.
    leases_not_expired,
    // The start that was ordered last got no response, and the worker does not
    // respond.
    start_unanswered,
    // The worker responds, but has not confirmed the start.
    start_not_confirmed,
    lead_not_valid,
    starts_not_permitted,
    // The occurrence is due, but preceding steps are not done.
    preceding_steps,
    // An earlier leader may have started the task on a worker that has not been
    // seen.
    in_doubt_after_takeover,
    // The worker, which cannot take the task, may still execute an earlier
    // start of it.
    bound_to_worker,
    // Its start was rejected a moment ago.
    after_rejection,
    // The task or its gang does not fit into what the cap of its account
    // leaves, or an earlier leader may have used a newer configuration.
    account_cap,

    no_suitable_worker,
    no_room,
    // Leaves, has ended or is not in the membership list.
    worker_leaves,
    zone_closed,
    worker_silent,
    worker_not_recorded,
    // The worker refused a start for lack of room a moment ago.
    room_refused,
    worker_slow,
    worker_avoided,
    // Nothing is started beside a suspect that is tried on the worker.
    beside_trial,
    // The task is a suspect, and another run is starting up on the worker.
    waits_for_trial,
    no_ticket,
    worker_found,

    // A worker has room, but the store does not list the task yet.
    not_stored,
    // Some tasks of the gang have room, but not all, or not all of them wait.
    gang_incomplete,
    // No worker has room, and the account runs more than its share.
    account_share,
    // Too many tasks wait for each one to be examined on all workers.
    not_examined
};

std::string_view to_text(wait_reason reason);

} // namespace hemlockdeal::jobs
