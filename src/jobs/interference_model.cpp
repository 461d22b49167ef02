// Implements the learning of interference.
#include "jobs/interference_model.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace hemlockdeal::jobs
{

namespace
{

constexpr double first_load = 0.5;
constexpr double lowest_load = 0.1;
constexpr double highest_load = 0.9;
constexpr double steepest_slope_per_s = 0.15;
// Half the age of the figures; the slope is rough.
constexpr double look_ahead_s = 0.4;
// Over which a fill task that starts now runs, roughly.
constexpr double task_time_s = 2.0;
constexpr duration load_window = std::chrono::milliseconds(800);
constexpr double mean_weight = 0.01;
constexpr duration solve_interval = std::chrono::milliseconds(500);
// Above this utilisation the tail says only that the task is overloaded.
constexpr double saturation = 0.96;
constexpr double highest_slowdown = 4.0;
// A low tail is seen at a low load, not without load.
constexpr double base_of_low_tail = 0.8;
constexpr double base_of_target = 0.25;
// A figure covers half a second; before that it says little.
constexpr duration figure_window = std::chrono::milliseconds(700);
constexpr int at_work = 100;
// Of a serving task that is at its limit by its own load.
constexpr double smallest_room = 0.02;
constexpr double full_pace = 100.0;
constexpr duration pressed_cache_age = std::chrono::milliseconds(300);
// Medians are asked for several times for each report.
constexpr duration level_cache_age = std::chrono::milliseconds(60);

bool has_measurement(const run_record& run, time_point now)
{
    return run.measurement > 0 && run.percent >= at_work && run.confirmed_at &&
           now - *run.confirmed_at > 2 * figure_window;
}

double share_of(const run_record& fill, const fleet_worker& worker)
{
    const auto used =
        fill.measurement >= 0 ? fill.measurement : fill.size.processor_millis;
    return static_cast<double>(used) /
           static_cast<double>(std::max<std::int64_t>(
               1, worker.entry.capacity.processor_millis));
}

} // namespace

double interference_model::pressure(image_number fill_image,
                                    image_number serving_image) const
{
    static const pressure_fit unknown;
    const auto found = fits_.find(serving_image);
    return (found == fits_.end() ? unknown : found->second)
        .pressure(fill_image);
}

const std::vector<pressed_image>&
interference_model::pressed_images(const fleet_worker& worker,
                                   time_point now) const
{
    auto& cache = worker.pressed;
    if (!cache.is_stale && now - cache.made_at < pressed_cache_age)
    {
        return cache.images;
    }
    cache.images.clear();
    for (const auto& [key, run] : worker.runs())
    {
        if (run.is_serving())
        {
            add_pressed(worker, key, run, now, cache.images);
        }
    }
    cache.made_at = now;
    cache.is_stale = false;
    return cache.images;
}

void interference_model::add_pressed(const fleet_worker& worker,
                                     const task_key& key,
                                     const run_record& serving, time_point now,
                                     std::vector<pressed_image>& images) const
{
    const double load = load_soon(key.job, now);
    const double room = std::max(
        planned_part * utilisation_limit(serving) / load - 1.0, smallest_room);
    const auto known =
        std::ranges::find(images, serving.image, &pressed_image::image);
    if (known != images.end())
    {
        known->room = std::min(known->room, room);
        return;
    }
    double weight = 0.0;
    for (const auto& [other, run] : worker.runs())
    {
        weight += run.fills
                      ? pressure(run.image, serving.image) *
                            static_cast<double>(run.size.processor_millis) *
                            run.pace / full_pace
                      : 0.0;
    }
    images.push_back({serving.image, weight, room});
}

double interference_model::base_tail(const run_record& serving) const
{
    const auto found = low_tails_.find(serving.image);
    if (found != low_tails_.end() && found->second.value() > 0.0)
    {
        return found->second.value() * base_of_low_tail;
    }
    return std::chrono::duration<double, std::milli>(serving.tail_target)
               .count() *
           base_of_target;
}

double interference_model::utilisation_limit(const run_record& serving) const
{
    const auto target =
        std::chrono::duration<double, std::milli>(serving.tail_target).count();
    return std::clamp(1.0 - base_tail(serving) / target, lowest_load,
                      highest_load);
}

double interference_model::slowdown(const fleet_worker& worker,
                                    const run_record& serving) const
{
    double sum = 1.0;
    for (const auto& [key, run] : worker.runs())
    {
        if (run.fills)
        {
            sum += pressure(run.image, serving.image) * share_of(run, worker);
        }
    }
    return sum;
}

void interference_model::learn(const fleet_worker& worker, time_point now)
{
    if (worker.serving_count() == 0)
    {
        return;
    }
    for (const auto& [key, run] : worker.runs())
    {
        if (run.is_serving() && has_measurement(run, now))
        {
            learn_from(worker, key.job, run, now);
        }
    }
    if (now - solved_at_ >= solve_interval)
    {
        solved_at_ = now;
        std::ranges::for_each(fits_, [](auto& entry) { entry.second.solve(); });
    }
}

void interference_model::learn_from(const fleet_worker& worker,
                                    const job_id& job,
                                    const run_record& serving, time_point now)
{
    const auto tail = static_cast<double>(serving.measurement);
    low_tails_[serving.image].add(serving.measurement);
    const double utilisation =
        std::clamp(1.0 - base_tail(serving) / tail, 0.0, saturation);
    const double expected = slowdown(worker, serving);
    if (utilisation < saturation)
    {
        observe_load(job, utilisation / expected, now);
    }
    const double seen = utilisation / load_level(job, now) - 1.0;
    // An overloaded task shows a lower bound only.
    if (utilisation >= saturation && expected - 1.0 > seen)
    {
        return;
    }
    pressure_fit::shares used;
    for (const auto& [key, run] : worker.runs())
    {
        if (run.fills)
        {
            used.emplace_back(run.image, share_of(run, worker));
        }
    }
    if (!used.empty())
    {
        fits_[serving.image].add(used, std::min(seen, highest_slowdown));
    }
}

void interference_model::observe_load(const job_id& job, double load,
                                      time_point now)
{
    auto& known = loads_[job];
    load = std::clamp(load, lowest_load, highest_load);
    known.mean = known.mean <= 0.0 ? first_load : known.mean;
    known.mean += mean_weight * (load - known.mean);
    known.recent.push_back({now, load});
    while (known.recent.front().at < now - 2 * load_window)
    {
        known.recent.pop_front();
    }
}

double interference_model::median_between(const job_load& known,
                                          time_point from, time_point to)
{
    std::vector<double> loads;
    for (const auto& estimate : known.recent)
    {
        if (estimate.at > from && estimate.at <= to)
        {
            loads.push_back(estimate.load);
        }
    }
    if (loads.empty())
    {
        return 0.0;
    }
    const auto middle =
        loads.begin() + static_cast<std::ptrdiff_t>(loads.size() / 2);
    std::ranges::nth_element(loads, middle);
    return *middle;
}

const interference_model::job_load*
interference_model::levels_of(const job_id& job, time_point now) const
{
    const auto found = loads_.find(job);
    if (found == loads_.end())
    {
        return nullptr;
    }
    const auto& known = found->second;
    if (now - known.levels_at >= level_cache_age)
    {
        known.level = median_between(known, now - load_window, now);
        known.earlier_level =
            median_between(known, now - 2 * load_window, now - load_window);
        known.levels_at = now;
    }
    return &known;
}

double interference_model::load_level(const job_id& job, time_point now) const
{
    const auto* const known = levels_of(job, now);
    return known == nullptr || known->level <= 0.0 ? first_load : known->level;
}

double interference_model::slope_per_s(const job_id& job, time_point now) const
{
    const auto* const known = levels_of(job, now);
    if (known == nullptr || known->level <= 0.0 || known->earlier_level <= 0.0)
    {
        return 0.0;
    }
    const double seconds = std::chrono::duration<double>(load_window).count();
    return std::clamp((known->level - known->earlier_level) / seconds,
                      -steepest_slope_per_s, steepest_slope_per_s);
}

double interference_model::expected_load(const job_id& job,
                                         time_point now) const
{
    return std::clamp(load_level(job, now) +
                          slope_per_s(job, now) * look_ahead_s,
                      lowest_load, highest_load);
}

double interference_model::load_soon(const job_id& job, time_point now) const
{
    const double rise = std::max(0.0, slope_per_s(job, now)) * task_time_s;
    return std::clamp(load_level(job, now) + rise, lowest_load, highest_load);
}

double interference_model::mean_load(const job_id& job) const
{
    const auto found = loads_.find(job);
    return found == loads_.end() || found->second.mean <= 0.0
               ? first_load
               : found->second.mean;
}

} // namespace hemlockdeal::jobs
