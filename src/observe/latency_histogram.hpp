// Histogram of durations on a logarithmic axis.
#pragma once

#include <atomic>
#include <cstdint>
#include <optional>
#include <vector>

#include <boost/histogram.hpp>

#include "core/time.hpp"

namespace hemlockdeal
{

// The axis covers six decades with 16 bins each, so a quantile is overestimated
// by at most 16%.
enum class latency_scale
{
    requests, // 100 us to 100 s
    jobs      // 1 s to 1,000,000 s
};

// record() is lock-free and may be called from any thread.
class latency_histogram
{
public:
    explicit latency_histogram(latency_scale scale);

    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;

    void record(duration time);

    // Upper bound of the bin that contains the quantile `q` (0 to 1) of the
    // recorded durations; empty if there are none.
    std::optional<duration> quantile(double q) const;

    // Prometheus bucket: the number of durations up to `upper_seconds`.
    struct bucket
    {
        double upper_seconds;
        std::uint64_t count;
    };

    struct summary
    {
        std::vector<bucket> buckets; // four per decade
        std::uint64_t count = 0;
        double sum_seconds = 0.0;
    };

    summary summarize() const;

private:
    using axis_type =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;
    // The second template argument makes the counters atomic.
    using storage_type = boost::histogram::dense_storage<
        boost::histogram::accumulators::count<std::uint64_t, true>>;

    boost::histogram::histogram<std::tuple<axis_type>, storage_type> counts_;
    std::atomic<double> sum_seconds_ = 0.0;
};

} // namespace hemlockdeal
