// State of one task of a job that has not finished.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "core/core.hpp"
#include "jobs/crash_history.hpp"
#include "jobs/recent_workers.hpp"

namespace hemlockdeal::jobs
{

enum class task_phase
{
    waiting,
    // Ordered to a worker; it may run there.
    placed,
    done
};

struct task_record
{
    task_phase phase = task_phase::waiting;
    // Highest known number of a run that was ordered.
    std::uint32_t last_run = 0;
    // Number of the run that is placed. Another run of the task, left over from
    // an earlier leader, may have a higher number.
    std::uint32_t current_run = 0;
    std::vector<std::uint32_t> failed_runs;
    // Checkpoint from which the next run resumes.
    std::string checkpoint;
    // Worker on which it is placed.
    worker_id worker;
    // The last workers on which it failed or stalled.
    recent_workers failed_on;
    // An earlier leader may have ordered it to a worker that has not been seen
    // yet.
    bool may_run_elsewhere = false;
    // Total duration of a run at full speed, extrapolated from its progress.
    duration projected_duration{};
    time_point not_before{};
    // The worker that got the last start order without a response; the task may
    // be bound to it.
    worker_id bound_to;
    // The stored row of the job lists the task as possibly ordered, or its
    // next version will.
    bool is_announced = false;
    // Number of the first change set that lists it as possibly ordered; 0 if
    // none.
    std::uint64_t first_change_set = 0;
    crash_history crashes;
    // Workers that it may have crashed and of which it is not known whether
    // they have crashed.
    std::set<worker_id> suspected_on;
    // When it last became a suspect that may be started again.
    time_point suspected_at{};
    // The next stored row of the job will contain a new crash.
    bool has_unstored_crash = false;
    // Number of the change set that contains the latest crash; 0 if none.
    std::uint64_t crash_change_set = 0;

    // True if nothing else may be started beside the task.
    bool needs_trial() const
    {
        return !suspected_on.empty() || crashes.needs_trial();
    }
    // False while a later leader would not learn of the task's latest crash.
    bool is_crash_stored(std::uint64_t stored_set) const
    {
        return !has_unstored_crash && crash_change_set <= stored_set;
    }
    // True if the store tells a later leader that the task may have been
    // ordered.
    bool may_be_ordered(std::uint64_t stored_set) const
    {
        return first_change_set > 0 && first_change_set <= stored_set;
    }
};

} // namespace hemlockdeal::jobs
