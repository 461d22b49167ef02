// Sliding window of one minute.
#include "batch/eviction_budget.hpp"

#include <algorithm>

namespace hemlockdeal
{

eviction_budget::eviction_budget(const policy_options& options)
    : per_worker_(options.evictions_per_worker_minute),
      share_(options.evicted_share_per_minute),
      enforced_(options.safeguards.bound_evictions)
{}

void eviction_budget::advance(time_point now)
{
    while (!recent_.empty() &&
           recent_.front().at + std::chrono::minutes(1) <= now)
    {
        recent_.pop_front();
    }
}

bool eviction_budget::allows(eviction_cause cause, std::uint64_t worker,
                             std::size_t count, std::size_t running_tasks) const
{
    if (!enforced_ || cause == eviction_cause::urgent)
    {
        return true;
    }
    if (count > left_on(worker))
    {
        return false;
    }
    const auto all = std::max<std::size_t>(
        1,
        static_cast<std::size_t>(share_ * static_cast<double>(running_tasks)));
    const std::size_t limit =
        cause == eviction_cause::quota ? (all + 1) / 2 : all;
    return recent_.size() + count <= limit;
}

void eviction_budget::record(std::uint64_t worker, time_point now)
{
    recent_.push_back({now, worker});
}

std::size_t eviction_budget::of_worker(std::uint64_t worker) const
{
    return static_cast<std::size_t>(
        std::ranges::count(recent_, worker, &eviction::worker));
}

std::size_t eviction_budget::left_on(std::uint64_t worker) const
{
    return enforced_ ? per_worker_ - std::min(per_worker_, of_worker(worker))
                     : SIZE_MAX;
}

} // namespace hemlockdeal
