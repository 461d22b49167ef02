// System clocks.
#include "clock.hpp"

#include <chrono>

#include <time.h>

namespace hemlockdeal
{

time_point lease_clock_now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(now.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec)));
}

std::int64_t unix_ms_now()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace hemlockdeal
