// Quantile over a histogram of whole milliseconds.
#include "jobs/low_tail.hpp"

#include <algorithm>

namespace hemlockdeal::jobs
{

namespace
{

// Measurements repeat within one period of the load; this many cover a few
// seconds.
constexpr std::uint32_t min_samples = 60;
constexpr std::uint32_t quantile_divisor = 20;

} // namespace

void low_tail::add(std::int64_t tail_ms)
{
    const auto last = static_cast<std::int64_t>(bins) - 1;
    ++counts_[static_cast<std::size_t>(
        std::clamp<std::int64_t>(tail_ms, 0, last))];
    ++total_;
}

double low_tail::value() const
{
    if (restored_ > 0.0 && total_ < min_samples)
    {
        return restored_;
    }
    std::uint32_t below = 0;
    for (std::size_t ms = 0; ms < bins && total_ > 0; ++ms)
    {
        below += counts_[ms];
        if (below * quantile_divisor > total_)
        {
            return static_cast<double>(ms);
        }
    }
    return restored_;
}

} // namespace hemlockdeal::jobs
