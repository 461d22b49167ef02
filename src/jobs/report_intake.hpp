// Takes in what workers answer: reports, and answers to starts and stops.
#pragma once

#include <string>

#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

class report_intake
{
public:
    explicit report_intake(scheduler_state& state) : state_(state) {}

    void on_report(fleet_worker& worker, const worker_report& report,
                   time_point sent_at, time_point now);
    void on_start_answer(fleet_worker& worker, const task_key& key,
                         std::uint32_t run, start_answer answer,
                         time_point now);
    void on_stop_confirmed(fleet_worker& worker, const task_key& key,
                           std::uint32_t run, time_point now);

    // Puts the tasks of a silent worker back once every lease on it has
    // ended.
    void check_lapse(fleet_worker& worker, time_point now);
    // Gives up all runs of a worker that surely runs nothing.
    void drop_runs(fleet_worker& worker, std::string_view why);

private:
    // The worker's process is another one than before.
    void take_restart(fleet_worker& worker, worker_incarnation incarnation,
                      time_point sent_at);
    void take_end(fleet_worker& worker, const ended_run& end, time_point now);
    void take_done(fleet_worker& worker, live_job& owner, const task_key& key,
                   time_point now);
    void take_gang_done(live_job& owner, const task_key& key);
    void take_failure(fleet_worker& worker, live_job& owner,
                      const ended_run& end, bool is_current, time_point now);
    void take_running(fleet_worker& worker, const running_task& shown,
                      time_point now);
    void adopt(fleet_worker& worker, const running_task& shown, time_point now);
    void watch_progress(fleet_worker& worker, const task_key& key,
                        run_record& run, const running_task& shown,
                        time_point now);
    void check_missing(fleet_worker& worker, const worker_report& report,
                       time_point sent_at, time_point now);
    bool is_gone(const run_record& run, const worker_report& report,
                 time_point sent_at) const;
    bool is_wanted(const fleet_worker& worker, const task_key& key,
                   std::uint32_t run);
    void note_failure(fleet_worker& worker, const job_id& id, time_point now);

    scheduler_state& state_;
    // Tasks of the report that were started by an earlier leader, for the log.
    std::string taken_over_;
};

} // namespace hemlockdeal::jobs
