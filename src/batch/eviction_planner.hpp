// Chooses the work that loses least to make room for a waiting task.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "batch/eviction_budget.hpp"
#include "batch/placement_state.hpp"

namespace hemlockdeal
{

// Urgent work goes beyond the bound of a worker only when no other worker can
// take it.
constexpr double loss_of_bound_s = 1e9;

struct eviction_plan
{
    std::uint32_t worker = 0;
    std::vector<std::uint32_t> running;
};

// Borrowed work goes first, then the work with the shortest time since its
// last checkpoint. `only_borrowed` restricts the plan to borrowed work, and
// `free_on` returns what the task may use on a worker without evictions.
template <typename FreeOn, typename Allowed>
std::optional<eviction_plan>
plan_eviction(const demand& d, bool only_borrowed, eviction_cause cause,
              const placement_state& state, const eviction_budget& budget,
              const FreeOn& free_on, const Allowed& allowed);

// The tasks to evict from one worker, with what is lost.
struct worker_eviction
{
    std::vector<std::uint32_t> running;
    double loss = 0.0;
};

std::optional<worker_eviction>
evict_from(std::uint32_t worker, const resources& size, const resources& free,
           bool only_borrowed, std::size_t at_most,
           const placement_state& state);

template <typename FreeOn, typename Allowed>
std::optional<eviction_plan>
plan_eviction(const demand& d, bool only_borrowed, eviction_cause cause,
              const placement_state& state, const eviction_budget& budget,
              const FreeOn& free_on, const Allowed& allowed)
{
    std::optional<eviction_plan> best;
    double least = 0.0;
    const resources& size = d.task->job->task_size;
    for (std::uint32_t w = 0; w < state.workers().size(); ++w)
    {
        const worker_slot& worker = state.worker(w);
        if (!size.fits_in(worker.view->size) || !allowed(worker))
        {
            continue;
        }
        const std::size_t within_bound = budget.left_on(worker.hash);
        std::optional<worker_eviction> plan = evict_from(
            w, size, free_on(worker), only_borrowed,
            cause == eviction_cause::urgent ? SIZE_MAX : within_bound, state);
        if (!plan || !budget.allows(cause, worker.hash, plan->running.size(),
                                    state.running_tasks()))
        {
            continue;
        }
        plan->loss +=
            plan->running.size() > within_bound ? loss_of_bound_s : 0.0;
        if (!best || plan->loss < least)
        {
            least = plan->loss;
            best = eviction_plan{w, plan->running};
        }
    }
    return best;
}

} // namespace hemlockdeal
