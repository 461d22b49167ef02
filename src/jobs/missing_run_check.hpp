// Finds runs that are no longer on their worker because its reports do not list
// them.
#pragma once

#include "jobs/scheduler_state.hpp"
#include "jobs/start_repeater.hpp"

namespace hemlockdeal::jobs
{

class missing_run_check
{
public:
    explicit missing_run_check(scheduler_state& state) : state_(state) {}

    // Requeues the tasks of missing runs, and stops runs that may be missing.
    // The running tasks of the report must have been processed at `now`.
    void on_report(fleet_worker& worker, const worker_report& report,
                   time_point sent_at, time_point now);

private:
    // Removes the run and requeues its task, which stays bound to the worker
    // while a later process may execute an order for it.
    void requeue_absent(fleet_worker& worker, const task_key& key,
                        time_point now);
    // True if the run can neither be on the worker nor start there any more.
    bool has_certainly_ended(const run_record& run, const worker_report& report,
                             time_point sent_at) const;

    scheduler_state& state_;
    start_repeater repeater_{state_};
};

} // namespace hemlockdeal::jobs
