// Estimates of load and pressure from reported tail latencies.
#include "jobs/interference_model.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace hemlockdeal::jobs
{

namespace
{

constexpr duration solve_interval = std::chrono::milliseconds(500);
// Above this utilisation the tail latency shows only that the task is
// overloaded.
constexpr double saturated_utilisation = 0.96;
constexpr double max_slowdown = 4.0;
// The low tail is observed at low load, not without load, so the base tail is
// lower.
constexpr double base_per_low_tail = 0.8;
constexpr double base_per_target = 0.25;
// A measurement covers half a second; soon after the start of a run it says
// little.
constexpr duration measurement_window = std::chrono::milliseconds(700);
constexpr int in_service_percent = 100;
// Headroom assumed for a serving task that its own load brings to its limit.
constexpr double min_headroom = 0.02;
constexpr double full_pace = 100.0;
constexpr duration max_pressure_cache_age = std::chrono::milliseconds(300);

bool has_valid_measurement(const run_record& run, time_point now)
{
    return run.measurement > 0 && run.percent >= in_service_percent &&
           run.confirmed_at && now - *run.confirmed_at > 2 * measurement_window;
}

double used_processor_share(const run_record& fill, const fleet_worker& worker)
{
    const auto used_millis =
        fill.measurement >= 0 ? fill.measurement : fill.size.processor_millis;
    return static_cast<double>(used_millis) /
           static_cast<double>(std::max<std::int64_t>(
               1, worker.entry.capacity.processor_millis));
}

// True if the reported use dates from a larger capacity.
bool fills_exceed_capacity(const fleet_worker& worker)
{
    std::int64_t used_millis = 0;
    for (const auto& [key, run] : worker.runs())
    {
        used_millis +=
            run.fills ? std::max<std::int64_t>(run.measurement, 0) : 0;
    }
    return used_millis > worker.entry.capacity.processor_millis;
}

} // namespace

const pressure_fit& interference_model::fit_of(image_hash serving_image) const
{
    static const pressure_fit unknown;
    const auto found = fits_.find(serving_image);
    return found == fits_.end() || !policy_.uses_learnt_pressures
               ? unknown
               : found->second;
}

double interference_model::pressure(image_hash fill_image,
                                    image_hash serving_image) const
{
    return fit_of(serving_image).pressure(fill_image);
}

double interference_model::mean_pressure(image_hash serving_image) const
{
    return fit_of(serving_image).mean_pressure();
}

const std::vector<serving_pressure>&
interference_model::serving_pressures(const fleet_worker& worker,
                                      time_point now) const
{
    auto& cache = worker.cached_pressures;
    if (!cache.is_stale && now - cache.made_at < max_pressure_cache_age)
    {
        return cache.entries;
    }
    cache.entries.clear();
    const task_key* previous = nullptr;
    for (const auto& [key, run] : worker.runs())
    {
        if (!run.is_serving())
        {
            continue;
        }
        // Runs are ordered by job, and tasks of one job and image have the
        // same load and pressure.
        const bool is_same = previous != nullptr && previous->job == key.job &&
                             cache.entries.back().image == run.image;
        previous = &key;
        if (is_same)
        {
            ++cache.entries.back().tasks;
            continue;
        }
        cache.entries.push_back(serving_pressure_of(worker, key.job, run, now));
    }
    cache.made_at = now;
    cache.is_stale = false;
    return cache.entries;
}

serving_pressure interference_model::serving_pressure_of(
    const fleet_worker& worker, const job_id& job, const run_record& serving,
    time_point now) const
{
    const double limit = planned_fraction * utilisation_limit(serving);
    const double load = policy_.forecasts_load ? loads_.peak(job, now)
                                               : loads_.median(job, now);
    const double headroom = std::max(limit / load - 1.0, min_headroom);
    double weight = 0.0;
    for (const auto& [other, run] : worker.runs())
    {
        weight += run.fills
                      ? pressure(run.image, serving.image) *
                            static_cast<double>(run.size.processor_millis) *
                            run.pace / full_pace
                      : 0.0;
    }
    return {serving.image, 1, weight, headroom};
}

double interference_model::base_tail(const run_record& serving) const
{
    const auto found = low_tails_.find(serving.image);
    if (found != low_tails_.end() && found->second.value() > 0.0)
    {
        return found->second.value() * base_per_low_tail;
    }
    return std::chrono::duration<double, std::milli>(serving.tail_target)
               .count() *
           base_per_target;
}

double interference_model::utilisation_limit(const run_record& serving) const
{
    const auto target =
        std::chrono::duration<double, std::milli>(serving.tail_target).count();
    return std::clamp(1.0 - base_tail(serving) / target,
                      load_forecast::min_load, load_forecast::max_load);
}

double interference_model::slowdown(const fleet_worker& worker,
                                    const run_record& serving) const
{
    double sum = 1.0;
    for (const auto& [key, run] : worker.runs())
    {
        if (run.fills)
        {
            sum += pressure(run.image, serving.image) *
                   used_processor_share(run, worker);
        }
    }
    return sum;
}

void interference_model::learn(const fleet_worker& worker, time_point now)
{
    if (worker.serving_count() == 0 || fills_exceed_capacity(worker))
    {
        return;
    }
    for (const auto& [key, run] : worker.runs())
    {
        if (run.is_serving() && has_valid_measurement(run, now))
        {
            learn_from_run(worker, key.job, run, now);
        }
    }
    if (now - solved_at_ >= solve_interval)
    {
        solved_at_ = now;
        std::ranges::for_each(fits_, [](auto& entry) { entry.second.solve(); });
    }
}

void interference_model::learn_from_run(const fleet_worker& worker,
                                        const job_id& job,
                                        const run_record& serving,
                                        time_point now)
{
    const auto tail = static_cast<double>(serving.measurement);
    low_tails_[serving.image].add(serving.measurement);
    const double utilisation =
        std::clamp(1.0 - base_tail(serving) / tail, 0.0, saturated_utilisation);
    const double expected = slowdown(worker, serving);
    if (utilisation < saturated_utilisation)
    {
        loads_.observe(job, utilisation / expected, now);
    }
    const double observed = utilisation / loads_.median(job, now) - 1.0;
    // An overloaded task yields only a lower bound of the slowdown.
    if (utilisation >= saturated_utilisation && expected - 1.0 > observed)
    {
        return;
    }
    pressure_fit::shares fill_shares;
    for (const auto& [key, run] : worker.runs())
    {
        if (run.fills)
        {
            fill_shares.emplace_back(run.image,
                                     used_processor_share(run, worker));
        }
    }
    if (!fill_shares.empty())
    {
        fits_[serving.image].add(fill_shares, std::min(observed, max_slowdown));
    }
}

} // namespace hemlockdeal::jobs
