// Baseline: the oldest task first, on the worker with most free processors by
// declared sizes.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "batch/placement_policy.hpp"

namespace fake
{

using namespace hemlockdeal;

class least_loaded_policy
{
public:
    placement_output place(const placement_input& input)
    {
        placement_output output;
        std::vector<resources> free;
        for (const worker_view& worker : input.workers)
        {
            free.push_back(worker.accepts_starts ? worker.free : resources());
        }
        for (std::uint32_t w = 0;
             w < input.waiting.size() &&
             output.placements.size() < input.starts_at_most;
             ++w)
        {
            const waiting_task& task = input.waiting[w];
            const auto best = std::ranges::max_element(
                free, {}, [](const resources& r) { return r.processors; });
            if (best == free.end() || !task.job->task_size.fits_in(*best))
            {
                continue;
            }
            *best -= task.job->task_size;
            output.placements.push_back(
                {w, static_cast<std::uint32_t>(best - free.begin())});
        }
        return output;
    }

    void observe(const policy_observation&, time_point) {}
    std::string waiting_reason(const job_id&) const { return ""; }
    bool is_quarantined(const worker_id&) const { return false; }
};

static_assert(placement_policy<least_loaded_policy>);

} // namespace fake
