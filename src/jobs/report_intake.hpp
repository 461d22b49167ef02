// Processes the responses of workers: reports, and responses to starts and
// stops.
#pragma once

#include <string>

#include "jobs/crash_attribution.hpp"
#include "jobs/scheduler_state.hpp"
#include "jobs/worker_avoidance.hpp"

namespace hemlockdeal::jobs
{

class report_intake
{
public:
    report_intake(scheduler_state& state, crash_attribution& crashes)
        : state_(state), crashes_(crashes)
    {}

    void on_report(fleet_worker& worker, const worker_report& report,
                   time_point sent_at, time_point now);
    // The report was sent before the end of the worker process. Its running
    // tasks have been dropped; its ended ones count.
    void on_late_report(fleet_worker& worker, const worker_report& report,
                        time_point now);
    void on_start_answer(fleet_worker& worker, const task_key& key,
                         std::uint32_t run, start_answer response,
                         time_point now);
    void on_stop_confirmed(fleet_worker& worker, const task_key& key,
                           std::uint32_t run, time_point now);

    // Requeues the tasks of an unresponsive worker once every lease on it has
    // expired.
    void check_lease_expiry(fleet_worker& worker, time_point now);
    // Handles the end of a worker process that `later` has replaced on its VM.
    void on_worker_ended(fleet_worker& worker, fleet_worker& later,
                         time_point now);

private:
    // True if a start without a response may still take effect on a silent
    // worker whose leases have expired, because the worker may have restarted.
    bool may_execute_after_restart(const fleet_worker& worker,
                                   const run_record& run, time_point now) const;
    // Removes all runs of a worker that certainly runs nothing, and requeues
    // their tasks.
    void drop_runs(fleet_worker& worker, std::string_view reason);
    // Handles a report from a new process of the worker.
    void handle_restart(fleet_worker& worker, worker_incarnation incarnation,
                        time_point sent_at, time_point now);
    void handle_ends(fleet_worker& worker, const worker_report& report,
                     time_point now);
    // An end without a number is new if its effect has not been recorded.
    bool is_new_end(fleet_worker& worker, const ended_run& end);
    // Logs the number of rows that cannot be decoded when it changes.
    void note_unreadable_rows(fleet_worker& worker,
                              const worker_report& report);
    void handle_end(fleet_worker& worker, const ended_run& end, time_point now);
    void handle_done(fleet_worker& worker, live_job& owner, const task_key& key,
                     time_point now);
    void complete_gang(live_job& owner, const task_key& key);
    void handle_failure(fleet_worker& worker, live_job& owner,
                        const ended_run& end, bool is_current, time_point now);
    void handle_running(fleet_worker& worker, const running_task& reported,
                        time_point now);
    void adopt_run(fleet_worker& worker, const running_task& reported,
                   time_point now);
    void update_progress(fleet_worker& worker, const task_key& key,
                         run_record& run, const running_task& reported,
                         time_point now);
    // Records whether a serving task is above its target.
    void note_tail(fleet_worker& worker, run_record& run, time_point now) const;
    // A report shows the tail at one time only, so that the task may have been
    // above its target since just after the report before it.
    time_point earliest_time_over_target(const run_record& run,
                                         time_point now) const;
    void check_missing_runs(fleet_worker& worker, const worker_report& report,
                            time_point sent_at, time_point now);
    bool is_run_over(const run_record& run, const worker_report& report,
                     time_point sent_at) const;
    bool is_current_run(const fleet_worker& worker, const task_key& key,
                        std::uint32_t run);

    scheduler_state& state_;
    crash_attribution& crashes_;
    worker_avoidance avoidance_{state_};
    // For the log: tasks of the current report that an earlier leader started.
    std::string taken_over_tasks_;
};

} // namespace hemlockdeal::jobs
