// Processes the ended runs that worker reports list.
#pragma once

#include "jobs/scheduler_state.hpp"
#include "jobs/worker_avoidance.hpp"

namespace hemlockdeal::jobs
{

class run_end_handler
{
public:
    explicit run_end_handler(scheduler_state& state) : state_(state) {}

    // Processes the ends in the report that have not been processed before.
    void on_report(fleet_worker& worker, const worker_report& report,
                   time_point now);

private:
    // An end without a number is new if its effect has not been recorded.
    bool is_new_end(fleet_worker& worker, const ended_run& end);
    void handle_end(fleet_worker& worker, const ended_run& end, time_point now);
    // Keeps the end listed while a late start of its task may be executed.
    static void hold_end(fleet_worker& worker, const ended_run& end,
                         time_point now);
    void handle_done(fleet_worker& worker, live_job& owner,
                     const judged_run& run, time_point now);
    void complete_gang(live_job& owner, const task_key& key);
    void handle_failure(fleet_worker& worker, live_job& owner,
                        const ended_run& end, const judged_run& run,
                        bool is_current, time_point now);

    scheduler_state& state_;
    worker_avoidance avoidance_{state_};
};

} // namespace hemlockdeal::jobs
