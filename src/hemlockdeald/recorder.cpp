// Time stamps and per-thread event rings of the time line.
#include "recorder.hpp"

#include <algorithm>
#include <utility>

#include "clock.hpp"

namespace hemlockdeal
{

namespace
{

// About 4 MB per thread when full, within the daemon's limit of 64 MB.
constexpr std::size_t ring_capacity = 16384;
constexpr std::int64_t us_per_ms = 1000;

} // namespace

recorder::recorder(vm_id vm) : vm_(std::move(vm))
{
    rings_.try_emplace("batch", ring_capacity);
    rings_.try_emplace("proxy", ring_capacity);
}

hybrid_timestamp recorder::stamp()
{
    const std::lock_guard lock(clock_mutex_);
    return clock_.now(unix_ms_now() * us_per_ms);
}

void recorder::advance_clock(const hybrid_timestamp& remote)
{
    const std::lock_guard lock(clock_mutex_);
    clock_.receive(remote, unix_ms_now() * us_per_ms);
}

void recorder::record(const std::string& thread, timeline_event event)
{
    event.stamp = stamp();
    event.vm = vm_.value();
    event.thread = thread;
    rings_.at(thread).record(std::move(event));
}

timeline_part recorder::collect(const timeline_filter& filter) const
{
    timeline_part part;
    part.vm = vm_.value();
    std::ranges::for_each(
        rings_, [&](const auto& ring) { ring.second.collect(filter, part); });
    std::ranges::sort(part.events, {}, &timeline_event::stamp);
    return part;
}

} // namespace hemlockdeal
