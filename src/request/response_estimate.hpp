// Exponentially weighted mean and mean absolute deviation of response times.
#pragma once

#include <cstdint>

#include "core/core.hpp"

namespace hemlockdeal
{

class response_estimate
{
public:
    // `gain` is the minimum weight of a new sample.
    explicit response_estimate(double gain = 0.1) : gain_(gain) {}

    void add(duration sample);
    void reset() { *this = response_estimate(gain_); }

    std::uint64_t samples() const { return samples_; }
    duration mean() const { return duration(static_cast<long>(mean_)); }
    // Mean plus three mean deviations, an approximation of the 99th percentile.
    duration tail() const;

private:
    double gain_;
    double mean_ = 0.0;      // microseconds
    double deviation_ = 0.0; // mean absolute deviation, microseconds
    std::uint64_t samples_ = 0;
};

} // namespace hemlockdeal
