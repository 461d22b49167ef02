// Histogram of durations.
#include "observe/latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace hemlockdeal
{

namespace
{

constexpr int decades = 6;
constexpr int bins_per_decade = 16;
// Exporting fewer buckets than bins limits the size of a Prometheus scrape.
constexpr int bins_per_bucket = 4;

double axis_min_seconds(latency_scale scale)
{
    return scale == latency_scale::requests ? 1e-4 : 1.0;
}

duration from_seconds(double seconds)
{
    return duration(std::llround(seconds * 1e6));
}

} // namespace

latency_histogram::latency_histogram(latency_scale scale)
    : counts_(std::make_tuple(axis_type(decades * bins_per_decade,
                                        axis_min_seconds(scale),
                                        axis_min_seconds(scale) * 1e6)),
              storage_type())
{}

void latency_histogram::record(duration time)
{
    // Negative durations have no logarithm and would be counted as overflow.
    const double seconds =
        std::max(0.0, std::chrono::duration<double>(time).count());
    counts_(seconds);
    sum_seconds_.fetch_add(seconds, std::memory_order_relaxed);
}

std::optional<duration> latency_histogram::quantile(double q) const
{
    const int bins = counts_.axis().size();
    std::uint64_t total = 0;
    for (int i = -1; i <= bins; ++i)
    {
        total += counts_.at(i).value();
    }
    if (total == 0)
    {
        return std::nullopt;
    }
    const double target_rank = std::max(1.0, q * static_cast<double>(total));
    std::uint64_t cumulative_count = 0;
    for (int i = -1; i < bins; ++i)
    {
        cumulative_count += counts_.at(i).value();
        if (static_cast<double>(cumulative_count) >= target_rank)
        {
            return from_seconds(counts_.axis().value(i + 1));
        }
    }
    // The quantile is in the overflow bin, so only the end of the axis is
    // known.
    return from_seconds(counts_.axis().value(bins));
}

latency_histogram::summary latency_histogram::summarize() const
{
    summary result;
    const int bins = counts_.axis().size();
    result.count = counts_.at(-1).value();
    for (int i = 0; i < bins; ++i)
    {
        result.count += counts_.at(i).value();
        if ((i + 1) % bins_per_bucket == 0)
        {
            result.buckets.push_back(
                {counts_.axis().value(i + 1), result.count});
        }
    }
    result.count += counts_.at(bins).value();
    result.sum_seconds = sum_seconds_.load(std::memory_order_relaxed);
    return result;
}

} // namespace hemlockdeal
