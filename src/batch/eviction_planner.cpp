// See the header.
#include "batch/eviction_planner.hpp"

#include <algorithm>

namespace hemlockdeal
{

namespace
{

// Evicting work within a quota counts as much as losing a day of borrowed
// work, so borrowed work goes first in practice.
constexpr double loss_of_quota_s = 86'400.0;

struct candidate
{
    std::uint32_t running = 0;
    double loss = 0.0;
    resources size;
};

} // namespace

std::optional<worker_eviction>
evict_from(std::uint32_t worker, const resources& size, const resources& free,
           bool only_borrowed, std::size_t at_most,
           const placement_state& state)
{
    const worker_slot& slot = state.worker(worker);
    std::vector<candidate> candidates;
    for (std::uint32_t r = 0; r < slot.running.size(); ++r)
    {
        const running_task& task = slot.view->running[r];
        const resources& task_size = task.job->task_size;
        const bool borrowed =
            state.quotas().is_borrowed(slot.running[r].team, task_size);
        if (!slot.running[r].evictable || (only_borrowed && !borrowed))
        {
            continue;
        }
        const double lost_s =
            std::chrono::duration<double>(state.now() - task.checkpointed_at)
                .count();
        candidates.push_back(
            {r, lost_s + (borrowed ? 0.0 : loss_of_quota_s), task_size});
    }
    std::ranges::sort(candidates, {}, &candidate::loss);

    worker_eviction plan;
    resources room = free;
    for (const candidate& c : candidates)
    {
        // A single larger task may replace several small ones below.
        if (size.fits_in(room) || plan.running.size() >= at_most)
        {
            break;
        }
        room += c.size;
        plan.running.push_back(c.running);
        plan.loss += c.loss;
    }
    const auto single =
        std::ranges::find_if(candidates, [&](const candidate& c) {
            return size.fits_in(free + c.size);
        });
    if (at_most > 0 && single != candidates.end() &&
        (!size.fits_in(room) || single->loss < plan.loss))
    {
        return worker_eviction{{single->running}, single->loss};
    }
    return size.fits_in(room) ? std::optional(plan) : std::nullopt;
}

} // namespace hemlockdeal
