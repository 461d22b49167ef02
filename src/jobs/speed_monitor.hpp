// Detects workers on which tasks take several times as long as the other tasks
// of their step elsewhere.
#pragma once

#include "jobs/scheduler_state.hpp"
#include "jobs/worker_eligibility.hpp"

namespace hemlockdeal::jobs
{

// Declared estimates are unreliable, so a task is compared only with the other
// tasks of its step.
class speed_monitor
{
public:
    explicit speed_monitor(scheduler_state& state)
        : state_(state), eligibility_(state)
    {}

    // Updates the slowness of the worker after its report.
    void observe(fleet_worker& worker, time_point now);

    // Stops tasks on a slow worker that would finish sooner elsewhere; they
    // resume there.
    void offload(fleet_worker& worker, time_point now);

private:
    // Median duration of the task's siblings on other workers; zero if too few
    // are known.
    duration median_sibling_duration(live_job& owner,
                                     const task_key& key) const;
    bool is_faster_elsewhere(live_job& owner, const task_key& key,
                             const run_record& run) const;
    // True if a worker that is not slow has room for the task.
    bool has_faster_worker(const live_job& owner, const task_key& key,
                           time_point now) const;

    scheduler_state& state_;
    worker_eligibility eligibility_;
};

} // namespace hemlockdeal::jobs
