// Medians over short windows, extrapolated by their difference.
#include "jobs/load_forecast.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace hemlockdeal::jobs
{

namespace
{

constexpr double default_load = 0.5;
constexpr double max_slope_per_s = 0.15;
// Approximate run time of a fill task that starts now.
constexpr double typical_fill_time_s = 2.0;
constexpr duration window = std::chrono::milliseconds(800);
// Medians are requested several times for each report.
constexpr duration max_median_age = std::chrono::milliseconds(60);
// A fall below the highest median by more than the noise of one window.
constexpr double min_fall = 0.1;

} // namespace

void load_forecast::observe(const job_id& job, double load, time_point now)
{
    auto& known = loads_[job];
    known.recent.push_back({now, std::clamp(load, min_load, max_load)});
    while (known.recent.front().at < now - 2 * window)
    {
        known.recent.pop_front();
    }
}

double load_forecast::median_between(const job_load& known, time_point from,
                                     time_point to)
{
    std::vector<double> loads;
    for (const auto& entry : known.recent)
    {
        if (entry.at > from && entry.at <= to)
        {
            loads.push_back(entry.load);
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

void load_forecast::refresh(job_load& known, time_point now)
{
    known.median = median_between(known, now - window, now);
    known.previous_median =
        median_between(known, now - 2 * window, now - window);
    known.refreshed_at = now;
    known.highest = std::max(known.highest, known.median);
    known.has_seen_peak =
        known.has_seen_peak ||
        (known.median > 0.0 && known.median < known.highest - min_fall);
}

const load_forecast::job_load* load_forecast::refreshed(const job_id& job,
                                                        time_point now) const
{
    const auto found = loads_.find(job);
    if (found == loads_.end())
    {
        return nullptr;
    }
    if (now - found->second.refreshed_at >= max_median_age)
    {
        refresh(found->second, now);
    }
    return found->second.median > 0.0 ? &found->second : nullptr;
}

double load_forecast::slope_per_s(const job_load& known)
{
    if (known.previous_median <= 0.0)
    {
        return 0.0;
    }
    const double seconds = std::chrono::duration<double>(window).count();
    return std::clamp((known.median - known.previous_median) / seconds,
                      -max_slope_per_s, max_slope_per_s);
}

double load_forecast::median(const job_id& job, time_point now) const
{
    const auto* const known = refreshed(job, now);
    return known == nullptr ? default_load : known->median;
}

double load_forecast::peak(const job_id& job, time_point now) const
{
    const auto* const known = refreshed(job, now);
    if (known == nullptr)
    {
        return default_load;
    }
    const double rise =
        std::max(0.0, slope_per_s(*known)) * typical_fill_time_s;
    // Extrapolated linearly, a rising load overshoots its turning point.
    const double limit = known->has_seen_peak
                             ? std::max(known->highest, known->median)
                             : max_load;
    return std::clamp(std::min(known->median + rise, limit), min_load,
                      max_load);
}

} // namespace hemlockdeal::jobs
