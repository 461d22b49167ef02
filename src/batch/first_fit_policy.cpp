// First fit by declared sizes.
#include "batch/first_fit_policy.hpp"

#include <algorithm>
#include <vector>

namespace hemlockdeal
{

placement_output first_fit_policy::place(const placement_input& input)
{
    placement_output output;
    std::vector<resources> free;
    free.reserve(input.workers.size());
    for (const worker_view& worker : input.workers)
    {
        free.push_back(worker.accepts_starts ? worker.free : resources());
    }
    // A task goes to a worker on which it failed only when no other worker is
    // large enough for it.
    const auto find_worker = [&](const waiting_task& task, bool again) {
        for (std::size_t i = 0; i < free.size(); ++i)
        {
            const bool failed =
                std::ranges::find(task.failed_on, input.workers[i].id) !=
                task.failed_on.end();
            if (input.workers[i].accepts_starts && failed == again &&
                task.job->task_size.fits_in(free[i]))
            {
                return i;
            }
        }
        return free.size();
    };
    const auto other_worker_is_large_enough = [&](const waiting_task& task) {
        return std::ranges::any_of(
            input.workers, [&](const worker_view& worker) {
                return task.job->task_size.fits_in(worker.size) &&
                       std::ranges::find(task.failed_on, worker.id) ==
                           task.failed_on.end();
            });
    };
    for (std::uint32_t w = 0; w < input.waiting.size() &&
                              output.placements.size() < input.starts_at_most;
         ++w)
    {
        const waiting_task& task = input.waiting[w];
        std::size_t chosen = find_worker(task, false);
        if (chosen == free.size() && !task.failed_on.empty() &&
            !other_worker_is_large_enough(task))
        {
            chosen = find_worker(task, true);
        }
        if (chosen < free.size())
        {
            free[chosen] -= task.job->task_size;
            output.placements.push_back(
                {w, static_cast<std::uint32_t>(chosen)});
        }
    }
    return output;
}

void first_fit_policy::observe(const policy_observation&, time_point)
{}

std::string first_fit_policy::waiting_reason(const job_id&) const
{
    return "no worker of the shard has enough free capacity";
}

bool first_fit_policy::is_quarantined(const worker_id&) const
{
    return false;
}

} // namespace hemlockdeal
