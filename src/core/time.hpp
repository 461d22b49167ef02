// Time as the core sees it: a monotonic time point that is always passed in.
#pragma once

#include <chrono>

namespace hemlockdeal
{

using duration = std::chrono::microseconds;

// Marks time points of the process's monotonic clock. It has no now(): the
// core must not read a clock.
struct monotonic_clock
{
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

using time_point = monotonic_clock::time_point;

} // namespace hemlockdeal
