// Ring buffer of the newest time line events of one thread.
#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include <boost/circular_buffer.hpp>

#include "observe/timeline.hpp"

namespace hemlockdeal
{

// One thread records while another reads. The ring stores pointers, so the lock
// is held only while pointers are copied, and a reader does not delay the
// recording thread by copying event texts.
class timeline_ring
{
public:
    explicit timeline_ring(std::size_t capacity);

    // Overwrites the oldest event if the ring is full.
    void record(timeline_event event);

    // Adds the matching events, oldest first, and the number of overwritten
    // events to `part`.
    void collect(const timeline_filter& filter, timeline_part& part) const;

    std::uint64_t overwritten() const;

private:
    using event_pointer = std::shared_ptr<const timeline_event>;

    mutable std::mutex mutex_;
    boost::circular_buffer<event_pointer> events_;
    std::uint64_t overwritten_ = 0;
};

} // namespace hemlockdeal
