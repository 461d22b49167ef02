// Finds workers on which tasks take several times as long as their siblings
// elsewhere.
#pragma once

#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

// Stated estimates are far off, so that a task is compared with the other
// tasks of its step only.
class speed_monitor
{
public:
    explicit speed_monitor(scheduler_state& state) : state_(state) {}

    // After a report of this worker.
    void observe(fleet_worker& worker, time_point now);

    // Stops what would finish sooner elsewhere; it resumes there.
    void offload(fleet_worker& worker, time_point now);

private:
    // Duration of the task's siblings on other workers; zero if unknown.
    duration usual_duration(live_job& owner, const task_key& key) const;
    bool gains_by_move(live_job& owner, const task_key& key,
                       const run_record& run) const;

    scheduler_state& state_;
};

} // namespace hemlockdeal::jobs
