// See the header.
#include "batch/slack_order.hpp"

#include <algorithm>

namespace hemlockdeal
{

namespace
{

// For classes without a target.
constexpr duration default_target = std::chrono::hours(24);

} // namespace

duration slack(const waiting_task& task, const task_estimate& estimate,
               time_point now)
{
    const bool has_target = task.kind != nullptr &&
                            task.kind->kind == class_kind::batch &&
                            task.kind->target > duration(0);
    const duration target = has_target ? task.kind->target : default_target;
    const double left = 1.0 - std::clamp(task.progress, 0.0, 1.0);
    const duration remaining(static_cast<duration::rep>(
        left * static_cast<double>(estimate.run_time.count())));
    return target - (now - task.submitted_at) - std::min(remaining, target);
}

} // namespace hemlockdeal
