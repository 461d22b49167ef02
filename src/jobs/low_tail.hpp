// Estimate of the tail latency of an image at low load and without
// interference.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace hemlockdeal::jobs
{

// Uses a low quantile in whole milliseconds. A minimum would be sensitive to
// noise: one measurement that is too low would stay forever, and loads and
// pressures are estimated from this value.
class low_tail
{
public:
    // Adds a measurement.
    void add(std::int64_t tail_ms);

    // Restores an earlier leader's value, which is used until enough
    // measurements are counted.
    void restore(double tail_ms) { restored_ = tail_ms; }

    // Zero before the first measurement.
    double value() const;

private:
    static constexpr std::size_t bins = 128;

    // Number of measurements per millisecond; the last bin counts all higher
    // ones.
    std::array<std::uint32_t, bins> counts_{};
    std::uint32_t total_ = 0;
    double restored_ = 0.0;
};

} // namespace hemlockdeal::jobs
