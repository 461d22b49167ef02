// Suspension of fill tasks beside a serving task over its target.
#include "jobs/fill_suspender.hpp"

#include <algorithm>
#include <vector>

namespace hemlockdeal::jobs
{

namespace
{

constexpr int full_pace = 100;
constexpr int suspended_pace = 0;

} // namespace

duration fill_suspender::max_time_over_target(const scheduler_options& options)
{
    // The calls are the report below the target, the next report and the order
    // to suspend.
    constexpr int calls = 3;
    const auto report_interval =
        options.mixed_poll_wait + options.min_poll_interval;
    return options.harm_limit - report_interval -
           calls * options.max_call_time - options.suspension_delay;
}

bool fill_suspender::must_suspend(const fleet_worker& worker,
                                  time_point now) const
{
    if (!state_.options.policy.suspends_fills)
    {
        return false;
    }
    const auto limit = max_time_over_target(state_.options);
    return std::ranges::any_of(worker.runs(), [&](const auto& entry) {
        const auto& over_since = entry.second.over_since;
        return over_since &&
               now - std::max(*over_since, worker.fills_since()) > limit;
    });
}

void fill_suspender::adjust(fleet_worker& worker, time_point now)
{
    if (worker.fill_count() == 0)
    {
        return;
    }
    const int percent = must_suspend(worker, now) ? suspended_pace : full_pace;
    std::vector<task_key> changed;
    for (const auto& [key, run] : worker.runs())
    {
        // An earlier leader may have suspended an adopted run that uses no
        // processor time.
        const bool may_be_suspended = run.is_adopted && run.measurement == 0;
        if (run.fills && run.confirmed_at && !run.stop_ordered_at &&
            (run.pace != percent || may_be_suspended))
        {
            changed.push_back(key);
        }
    }
    for (const auto& key : changed)
    {
        set_pace(worker, key, percent, now);
    }
}

void fill_suspender::set_pace(fleet_worker& worker, const task_key& key,
                              int percent, time_point now)
{
    auto& run = *worker.find_run(key);
    worker.set_pace(run, percent, now);
    state_.log_event("pace of run changed",
                     {{"task", to_text(key)},
                      {"worker", worker.entry.id.value()},
                      {"percent", std::to_string(percent)}});
    state_.orders.emplace_back(
        pace_order{worker.entry.id, key, run.run, percent});
}

} // namespace hemlockdeal::jobs
