// Repetition of start orders that got no response.
#pragma once

#include "jobs/quota/quota_gate.hpp"
#include "jobs/scheduler_state.hpp"
#include "jobs/worker_eligibility.hpp"

namespace hemlockdeal::jobs
{

// A start with the same task and run is idempotent: the worker confirms a run
// that it has, and the late execution of an earlier order changes nothing. So
// the order is repeated at the same worker, where the task begins sooner and
// runs in one place only.
class start_repeater
{
public:
    explicit start_repeater(scheduler_state& state)
        : state_(state), eligibility_(state), quota_(state)
    {}

    // A start order got no response, or none that settles whether an earlier
    // one can still be executed.
    void on_unanswered(fleet_worker& worker, const task_key& key,
                       run_record& run, time_point now);
    // Records an order without a response, also for a run that another order
    // has started.
    void note_unanswered(fleet_worker& worker, const task_key& key,
                         const run_record& run);
    // True unless the worker must get no further order for the run.
    bool may_repeat(const fleet_worker& worker, const task_key& key,
                    const run_record& run, time_point now) const;
    // Repeats the orders that are due. Only a leader that may start tasks calls
    // this.
    void repeat_due(time_point now);

private:
    // True if the run, which is in the ledgers, exceeds no capacity or cap.
    bool has_room(const fleet_worker& worker, const live_job& owner,
                  const task_key& key, time_point now) const;
    void repeat(fleet_worker& worker, const task_key& key, run_record& run,
                time_point now);

    scheduler_state& state_;
    worker_eligibility eligibility_;
    quota_gate quota_;
};

} // namespace hemlockdeal::jobs
