// Suspends the fill tasks of a worker where a serving task stays above its tail
// latency target, and resumes them afterwards.
#pragma once

#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

// Suspends fill tasks that slow a serving task more than the placement
// expected. It relies on measured tails only, so that a wrong model cannot
// extend the harm, and it acts late: a fill task that is suspended early
// disturbs as much once it resumes, and its job waits meanwhile.
class fill_suspender
{
public:
    explicit fill_suspender(scheduler_state& state) : state_(state) {}

    // The time since a serving task was last reported below its target after
    // which a suspension at the next report could come too late.
    static duration max_time_over_target(const scheduler_options& options);

    // Suspends or resumes the fill tasks after a report of this worker.
    void adjust(fleet_worker& worker, time_point now);

private:
    bool must_suspend(const fleet_worker& worker, time_point now) const;
    void set_pace(fleet_worker& worker, const task_key& key, int percent,
                  time_point now);

    scheduler_state& state_;
};

} // namespace hemlockdeal::jobs
