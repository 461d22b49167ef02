// Processes the running tasks that worker reports list.
#pragma once

#include <string>

#include "jobs/crash_attribution.hpp"
#include "jobs/scheduler_state.hpp"
#include "jobs/worker_avoidance.hpp"

namespace hemlockdeal::jobs
{

class reported_run_handler
{
public:
    reported_run_handler(scheduler_state& state, crash_attribution& crashes)
        : state_(state), crashes_(crashes)
    {}

    void on_report(fleet_worker& worker, const worker_report& report,
                   time_point now);

private:
    void handle_running(fleet_worker& worker, const running_task& reported,
                        time_point now);
    // Stops a run that is older than the one in the ledger.
    void stop_earlier_run(fleet_worker& worker, const running_task& reported,
                          time_point now);
    // Adds a run that this leader has not ordered to the worker's ledger.
    void adopt_run(fleet_worker& worker, const running_task& reported,
                   time_point now);
    void update_progress(fleet_worker& worker, const task_key& key,
                         run_record& run, const running_task& reported,
                         time_point now);
    // Records whether a serving task is above its target.
    void record_tail(fleet_worker& worker, run_record& run,
                     time_point now) const;
    // A report shows the tail at one time only, so that the task may have been
    // above its target since just after the report before it.
    time_point earliest_time_over_target(const run_record& run,
                                         time_point now) const;

    scheduler_state& state_;
    crash_attribution& crashes_;
    worker_avoidance avoidance_{state_};
    // For the log: tasks of the current report that an earlier leader started.
    std::string adopted_tasks_;
};

} // namespace hemlockdeal::jobs
