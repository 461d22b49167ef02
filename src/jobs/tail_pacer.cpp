// Implements the pacing: fill tasks that press least go at full pace, and the
// others share what room is left.
#include "jobs/tail_pacer.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace hemlockdeal::jobs
{

namespace
{

constexpr double tiny_room = 0.02;
constexpr int full_pace = 100;
// Smaller changes are not worth an order.
constexpr int smallest_change = 15;
// A tail above this part of its target is met by a stop of the heavy ones,
// whatever the model expects.
constexpr double alarm_part = 0.9;
// A task that has been over its target for this long is not explained by the
// model: nothing that fills may work beside it.
constexpr duration longest_over_target = std::chrono::milliseconds(1100);

bool is_over(const run_record& run)
{
    const auto target =
        std::chrono::duration<double, std::milli>(run.tail_target).count();
    return run.is_serving() &&
           static_cast<double>(run.measurement) > alarm_part * target;
}

bool is_long_over(const fleet_worker& worker, time_point now)
{
    return std::ranges::any_of(worker.runs(), [&](const auto& entry) {
        const auto& run = entry.second;
        return run.over_since && now - *run.over_since > longest_over_target;
    });
}

} // namespace

double tail_pacer::burden(const fleet_worker& worker, const run_record& fill,
                          time_point now) const
{
    const auto& model = state_.interference;
    const double share = static_cast<double>(fill.size.processor_millis) /
                         static_cast<double>(std::max<std::int64_t>(
                             1, worker.entry.capacity.processor_millis));
    double most = 0.0;
    for (const auto& [key, run] : worker.runs())
    {
        if (!run.is_serving())
        {
            continue;
        }
        const double limit =
            interference_model::planned_part * model.utilisation_limit(run);
        const double room = limit / model.expected_load(key.job, now) - 1.0;
        most = std::max(most, model.pressure(fill.image, run.image) * share /
                                  std::max(room, tiny_room));
    }
    return most;
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
        double burden = 0.0;
    };
    std::vector<fill> fills;
    bool is_alarm = false;
    for (const auto& [key, run] : worker.runs())
    {
        is_alarm = is_alarm || is_over(run);
        if (run.fills && run.confirmed_at && !run.stop_ordered_at)
        {
            fills.push_back({key, burden(worker, run, now)});
        }
    }
    std::ranges::sort(fills, {}, &fill::burden);
    // After an alarm only half of what the model allows.
    double left = is_alarm ? 0.5 : 1.0;
    if (is_long_over(worker, now))
    {
        std::ranges::for_each(fills, [](fill& f) { f.burden = 1.0; });
        left = 0.0;
    }
    for (const auto& f : fills)
    {
        const double part =
            f.burden <= 0.0 ? 1.0 : std::clamp(left / f.burden, 0.0, 1.0);
        left -= part * f.burden;
        set_pace(worker, f.key, static_cast<int>(std::lround(part * full_pace)),
                 now);
    }
}

void tail_pacer::set_pace(fleet_worker& worker, const task_key& key,
                          int percent, time_point now)
{
    auto& run = *worker.find_run(key);
    const bool is_end = percent == 0 || percent == full_pace;
    const int change = std::abs(percent - run.pace);
    if (change == 0 || (change < smallest_change && !is_end))
    {
        return;
    }
    worker.set_pace(run, percent, now);
    state_.log_event("run is paced", {{"task", to_text(key)},
                                      {"worker", worker.entry.id.value()},
                                      {"percent", std::to_string(percent)}});
    state_.orders.emplace_back(
        pace_order{worker.entry.id, key, run.run, percent});
}

} // namespace hemlockdeal::jobs
