// Order of waiting tasks: least slack first.
#pragma once

#include "batch/placement_policy.hpp"
#include "batch/run_time_estimator.hpp"

namespace hemlockdeal
{

// slack = target - now - estimated remaining time. The remaining time counts
// for at most the target: a task that cannot meet its target any more does not
// overtake those that can by more than its waiting time, so every task gets to
// the front in the end.
duration slack(const waiting_task& task, const task_estimate& estimate,
               time_point now);

} // namespace hemlockdeal
