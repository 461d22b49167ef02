// Implements boot_now() with CLOCK_BOOTTIME.
#include "http/boot_clock.hpp"

#include <ctime>

namespace hemlockdeal
{

time_point boot_now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto since_boot = std::chrono::seconds(now.tv_sec) +
                            std::chrono::nanoseconds(now.tv_nsec);
    return time_point(std::chrono::duration_cast<duration>(since_boot));
}

} // namespace hemlockdeal
