// Requeues the tasks of worker processes that have ended, and of workers whose
// leases have expired.
#pragma once

#include <string_view>

#include "jobs/crash_attribution.hpp"
#include "jobs/scheduler_state.hpp"
#include "jobs/start_repeater.hpp"

namespace hemlockdeal::jobs
{

class worker_end_handler
{
public:
    worker_end_handler(scheduler_state& state, crash_attribution& crashes)
        : state_(state), crashes_(crashes)
    {}

    // The report, requested at `sent_at`, shows a new process of the worker.
    void on_restart(fleet_worker& worker, const worker_report& report,
                    time_point sent_at, time_point now);
    // Handles the end of a worker process that `later` has replaced on its VM.
    void on_replaced(fleet_worker& worker, fleet_worker& later, time_point now);
    // The worker has responded: orders it to refuse the starts that were given
    // up before.
    void withdraw_given_up_starts(fleet_worker& worker, time_point now);
    // Requeues the tasks of an unresponsive worker once every lease on it has
    // expired. Repeats unconfirmed orders to refuse given-up starts.
    void check_lease_expiry(fleet_worker& worker, time_point now);

private:
    void repeat_withdrawals(fleet_worker& worker, time_point now);
    void order_refusal(const fleet_worker& worker, given_up_start& start,
                       time_point now);
    // Removes all runs of a worker that certainly runs nothing, and requeues
    // their tasks.
    void drop_runs(fleet_worker& worker, std::string_view reason,
                   time_point now);
    // Orders the worker to refuse the start as soon as it responds, if its task
    // may run elsewhere.
    void give_up_start(fleet_worker& worker, const task_key& key,
                       const run_record& run, time_point now);

    scheduler_state& state_;
    crash_attribution& crashes_;
    start_repeater repeater_{state_};
};

} // namespace hemlockdeal::jobs
