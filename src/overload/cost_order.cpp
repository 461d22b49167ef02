// Apparent tardiness cost of waiting work.
#include "overload/cost_order.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace hemlockdeal::overload
{

namespace
{

// Value of a job that is done late, in relation to one that is done in time.
// Callers' late results count a seventh to a tenth.
constexpr double late_value = 0.125;
// Work whose estimate is missing or tiny would go before everything else.
constexpr double min_core_seconds = 0.05;

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

double work_per_loss(const waiting_work& work)
{
    if (work.slack_when_late < duration{})
    {
        return std::numeric_limits<double>::max();
    }
    const bool can_be_in_time = work.slack >= duration{};
    const auto value = can_be_in_time ? 1.0 - late_value : late_value;
    const auto left = can_be_in_time ? work.slack : work.slack_when_late;
    // Scaled by the objective, so that long and short jobs are compared by the
    // part of their time that is left.
    const auto scale = std::max(seconds(work.objective), 0.001);
    const auto urgency = std::exp(-seconds(left) / scale);
    return std::max(work.core_seconds, min_core_seconds) / (value * urgency);
}

} // namespace hemlockdeal::overload
