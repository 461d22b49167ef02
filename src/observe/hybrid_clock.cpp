// Hybrid logical clock.
#include "observe/hybrid_clock.hpp"

#include <algorithm>
#include <limits>

namespace hemlockdeal
{

hybrid_timestamp hybrid_clock::now(std::int64_t wall_us)
{
    return receive({}, wall_us);
}

hybrid_timestamp hybrid_clock::receive(const hybrid_timestamp& remote,
                                       std::int64_t wall_us)
{
    const hybrid_timestamp highest = std::max(last_, remote);
    if (wall_us > highest.wall_us)
    {
        last_ = {wall_us, 0};
    }
    else if (highest.logical < std::numeric_limits<std::uint32_t>::max())
    {
        last_ = {highest.wall_us, highest.logical + 1};
    }
    else
    {
        // The logical counter is exhausted: advance to the next microsecond.
        last_ = {highest.wall_us + 1, 0};
    }
    return last_;
}

} // namespace hemlockdeal
