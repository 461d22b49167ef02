// Ring buffer of time line events.
#include "observe/timeline_ring.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace hemlockdeal
{

timeline_ring::timeline_ring(std::size_t capacity)
    : events_(std::max<std::size_t>(capacity, 1))
{}

void timeline_ring::record(timeline_event event)
{
    auto added = std::make_shared<const timeline_event>(std::move(event));
    // Declared before the lock, so that the event is freed after the unlock.
    event_pointer evicted;
    const std::scoped_lock lock(mutex_);
    if (events_.full())
    {
        evicted = std::move(events_.front());
        ++overwritten_;
    }
    events_.push_back(std::move(added));
}

void timeline_ring::collect(const timeline_filter& filter,
                            timeline_part& part) const
{
    std::vector<event_pointer> snapshot;
    {
        const std::scoped_lock lock(mutex_);
        snapshot.assign(events_.begin(), events_.end());
        part.overwritten += overwritten_;
    }
    for (const event_pointer& event : snapshot)
    {
        if (matches(filter, *event))
        {
            part.events.push_back(*event);
        }
    }
}

std::uint64_t timeline_ring::overwritten() const
{
    const std::scoped_lock lock(mutex_);
    return overwritten_;
}

} // namespace hemlockdeal
