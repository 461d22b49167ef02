// Duration and monotonic time point types. The current time is always passed in
// by the caller.
#pragma once

#include <chrono>

namespace hemlockdeal
{

using duration = std::chrono::microseconds;

// Clock type for time points of the process's monotonic clock. It has no now(),
// because the core library must not read a clock.
struct monotonic_clock
{
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

using time_point = monotonic_clock::time_point;

// Clock type of the platform's store, whose steady clock is the only one that
// all VMs see.
struct store_steady_clock
{
    using rep = std::chrono::milliseconds::rep;
    using period = std::chrono::milliseconds::period;
    using duration = std::chrono::milliseconds;
    using time_point = std::chrono::time_point<store_steady_clock>;
    static constexpr bool is_steady = true;
};

using store_time = store_steady_clock::time_point;

} // namespace hemlockdeal
