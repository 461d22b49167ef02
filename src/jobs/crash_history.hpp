// Crashes of workers on which a task was running.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "core/core.hpp"

namespace hemlockdeal::jobs
{

// A run is in its start-up for this long: a worker that crashes in this time
// may have been crashed by it.
constexpr duration start_up_time = std::chrono::milliseconds(500);

// Evidence that a task crashes the worker that runs it. It outlives the leader
// with the progress of the job.
struct crash_history
{
    // Workers that crashed under the task.
    std::vector<worker_id> workers;
    // Number of them that crashed during the start-up of the task, without
    // those of mass failures that other tasks or causes may explain.
    std::uint32_t in_start_up = 0;
    // The same with those of mass failures.
    std::uint32_t possibly_in_start_up = 0;
    // Longest time for which the task had been running before a crash.
    duration longest_run{};
    // Worker on which the task is being tried as a suspect; empty if none. It
    // is stored before the start, so that a later leader knows whom to blame.
    worker_id tried_on;

    bool empty() const { return workers.empty() && tried_on.empty(); }

    // False if this crash was counted before.
    bool add(const worker_id& worker, bool was_in_start_up, duration ran_for,
             bool is_explained_otherwise = false)
    {
        if (std::ranges::find(workers, worker) != workers.end())
        {
            return false;
        }
        workers.push_back(worker);
        in_start_up += was_in_start_up && !is_explained_otherwise ? 1 : 0;
        possibly_in_start_up += was_in_start_up ? 1 : 0;
        longest_run = std::max(longest_run, std::min(ran_for, max_run));
        return true;
    }

    // True if the next run must be the only one on its worker that can be
    // blamed for a crash.
    bool needs_trial() const
    {
        return in_start_up > 0 || workers.size() >= repeated_crashes;
    }

    // A run that lasts for longer than this has outlived the crashes.
    duration clearance_time() const
    {
        return longest_run * 3 / 2 + min_clearance_time;
    }

    friend bool operator==(const crash_history&,
                           const crash_history&) = default;

    static constexpr std::size_t repeated_crashes = 2;
    // Longer runs count as this long, which bounds the time of a trial.
    static constexpr duration max_run = std::chrono::seconds(10);
    static constexpr duration min_clearance_time = std::chrono::seconds(1);
};

} // namespace hemlockdeal::jobs
