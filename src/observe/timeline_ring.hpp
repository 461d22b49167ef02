// Bounded ring of the newest time line events of one thread.
#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include <boost/circular_buffer.hpp>

#include "observe/timeline.hpp"

namespace hemlockdeal
{

// One thread records and another reads. Events are held by pointer, so that
// the lock is held only while pointers are copied: a reader never delays the
// recording thread by the time it takes to copy texts.
class timeline_ring
{
public:
    explicit timeline_ring(std::size_t capacity);

    // Replaces the oldest event when the ring is full.
    void record(timeline_event event);

    // Adds the events that match to `part`, oldest first, and the number of
    // events that were replaced.
    void collect(const timeline_filter& filter, timeline_part& part) const;

    std::uint64_t overwritten() const;

private:
    using event_pointer = std::shared_ptr<const timeline_event>;

    mutable std::mutex mutex_;
    boost::circular_buffer<event_pointer> events_;
    std::uint64_t overwritten_ = 0;
};

} // namespace hemlockdeal
