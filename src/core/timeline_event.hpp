// An event of the time line, which spans all processes.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace hemlockdeal
{

// Timestamp of a hybrid logical clock: wall time in microseconds and a counter
// that orders events with equal wall time. Timestamps never decrease, even if
// the wall clock is set back.
struct hybrid_timestamp
{
    std::int64_t wall_us = 0;
    std::uint32_t logical = 0;

    friend constexpr auto operator<=>(const hybrid_timestamp&,
                                      const hybrid_timestamp&) = default;
};

// IDs that do not apply are empty. The I/O-free libraries set all fields except
// stamp, vm and thread, which the recording process adds.
struct timeline_event
{
    hybrid_timestamp stamp;
    std::string vm;
    std::string thread;
    std::string kind; // for example "task.start", "lease.lost"
    std::string job;
    std::int64_t task = -1;
    std::uint64_t attempt = 0;
    std::string worker;
    std::string request;
    std::string shard;
    std::uint64_t epoch = 0;
    std::string zone;
    std::int64_t duration_us = 0; // 0 for an instantaneous event
    std::string text;
};

} // namespace hemlockdeal
