// Implements the quantile by counts.
#include "jobs/low_tail.hpp"

#include <algorithm>

namespace hemlockdeal::jobs
{

namespace
{

// Figures repeat within a wave of the load; these are a few seconds' worth.
constexpr std::uint32_t enough_figures = 60;
constexpr std::uint32_t parts_of_whole = 20;

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
    if (restored_ > 0.0 && total_ < enough_figures)
    {
        return restored_;
    }
    std::uint32_t below = 0;
    for (std::size_t ms = 0; ms < bins && total_ > 0; ++ms)
    {
        below += counts_[ms];
        if (below * parts_of_whole > total_)
        {
            return static_cast<double>(ms);
        }
    }
    return restored_;
}

} // namespace hemlockdeal::jobs
