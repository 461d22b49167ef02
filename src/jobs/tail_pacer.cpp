// Pacing of fill tasks: those that cause the least slowdown run at full pace,
// and the others share the remaining headroom.
#include "jobs/tail_pacer.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace hemlockdeal::jobs
{

namespace
{

constexpr double min_headroom = 0.02;
constexpr int full_pace = 100;
// Smaller changes do not justify an order.
constexpr int min_pace_change = 15;
// A tail latency above this fraction of the target halves the headroom for fill
// tasks, whatever the model predicts.
constexpr double alarm_fraction = 0.9;
// If a serving task exceeds its target for this long, the model does not
// explain its tail latency: all fill tasks on the worker are stopped.
constexpr duration max_time_over_target = std::chrono::milliseconds(1100);

bool is_near_target(const run_record& run)
{
    const auto target =
        std::chrono::duration<double, std::milli>(run.tail_target).count();
    return run.is_serving() &&
           static_cast<double>(run.measurement) > alarm_fraction * target;
}

bool is_over_target_too_long(const fleet_worker& worker, time_point now)
{
    return std::ranges::any_of(worker.runs(), [&](const auto& entry) {
        const auto& run = entry.second;
        return run.over_since && now - *run.over_since > max_time_over_target;
    });
}

} // namespace

double tail_pacer::headroom_use(const fleet_worker& worker,
                                const run_record& fill, time_point now) const
{
    const auto& model = state_.interference;
    const double share = static_cast<double>(fill.size.processor_millis) /
                         static_cast<double>(std::max<std::int64_t>(
                             1, worker.entry.capacity.processor_millis));
    double highest = 0.0;
    for (const auto& [key, run] : worker.runs())
    {
        if (!run.is_serving())
        {
            continue;
        }
        const double limit =
            interference_model::planned_fraction * model.utilisation_limit(run);
        const double headroom = limit / model.expected_load(key.job, now) - 1.0;
        highest =
            std::max(highest, model.pressure(fill.image, run.image) * share /
                                  std::max(headroom, min_headroom));
    }
    return highest;
}

void tail_pacer::adjust(fleet_worker& worker, time_point now)
{
    if (worker.serving_count() == 0 || worker.fill_count() == 0)
    {
        return;
    }
    struct fill
    {
        task_key key;
        double headroom_use = 0.0;
    };
    std::vector<fill> fills;
    bool is_alarm = false;
    for (const auto& [key, run] : worker.runs())
    {
        is_alarm = is_alarm || is_near_target(run);
        if (run.fills && run.confirmed_at && !run.stop_ordered_at)
        {
            fills.push_back({key, headroom_use(worker, run, now)});
        }
    }
    std::ranges::sort(fills, {}, &fill::headroom_use);
    // After an alarm only half of the headroom of the model is used.
    double remaining = is_alarm ? 0.5 : 1.0;
    if (is_over_target_too_long(worker, now))
    {
        std::ranges::for_each(fills, [](fill& f) { f.headroom_use = 1.0; });
        remaining = 0.0;
    }
    for (const auto& f : fills)
    {
        const double fraction =
            f.headroom_use <= 0.0
                ? 1.0
                : std::clamp(remaining / f.headroom_use, 0.0, 1.0);
        remaining -= fraction * f.headroom_use;
        set_pace(worker, f.key,
                 static_cast<int>(std::lround(fraction * full_pace)), now);
    }
}

void tail_pacer::set_pace(fleet_worker& worker, const task_key& key,
                          int percent, time_point now)
{
    auto& run = *worker.find_run(key);
    const bool is_extreme = percent == 0 || percent == full_pace;
    const int change = std::abs(percent - run.pace);
    if (change == 0 || (change < min_pace_change && !is_extreme))
    {
        return;
    }
    worker.set_pace(run, percent, now);
    state_.log_event("pace of run changed",
                     {{"task", to_text(key)},
                      {"worker", worker.entry.id.value()},
                      {"percent", std::to_string(percent)}});
    state_.orders.emplace_back(
        pace_order{worker.entry.id, key, run.run, percent});
}

} // namespace hemlockdeal::jobs
