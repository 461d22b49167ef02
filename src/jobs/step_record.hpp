// State of the tasks of one step.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "jobs/run_outcomes.hpp"
#include "jobs/task_record.hpp"

namespace hemlockdeal::jobs
{

// How long a task that is done would have taken on its worker.
struct task_duration
{
    worker_id worker;
    duration projected{};
};

// A step of one occurrence. Memory follows the tasks that have been ordered or
// have a history: tasks that have not, and tasks that are done, have no record.
class step_record
{
public:
    explicit step_record(std::uint32_t task_count) : waiting(task_count) {}

    std::map<std::uint32_t, task_record> tasks;
    std::uint32_t done = 0;
    std::uint32_t waiting = 0;
    // Time of the last search over all workers in which some waiting tasks had
    // no room; zero if all had room.
    time_point searched_at{};
    // Since when the step has had waiting tasks that may start.
    std::optional<time_point> waiting_since;
    // Of the tasks that were done last.
    std::vector<task_duration> durations;
    // What the ended runs show of the step and of their workers.
    run_outcomes outcomes;
    // The step explains its failures, so that they are not blamed on workers.
    bool explains_failures = false;

    bool is_done(std::uint32_t index) const
    {
        return index < is_done_.size() && is_done_[index];
    }
    // True if neither this task nor one after it has a record.
    bool is_untouched_from(std::uint32_t index) const
    {
        return tasks.lower_bound(index) == tasks.end();
    }
    // Removes the record of the task. It must not be done.
    void set_done(std::uint32_t index);

private:
    static constexpr std::size_t max_durations = 256;

    // By index, up to the highest one that is done.
    std::vector<bool> is_done_;
};

} // namespace hemlockdeal::jobs
