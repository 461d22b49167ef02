// The lowest tail latency that an image shows when nothing disturbs it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace hemlockdeal::jobs
{

// A low quantile of whole milliseconds. The least of all figures would do
// without noise; one figure that is too low would then stay for ever, and
// loads and pressures would be estimated from it.
class low_tail
{
public:
    // Counts a figure.
    void add(std::int64_t tail_ms);

    // Takes an earlier leader's value over until enough figures are counted.
    void restore(double tail_ms) { restored_ = tail_ms; }

    // Zero before the first figure.
    double value() const;

private:
    static constexpr std::size_t bins = 128;

    // Figures by milliseconds; the last bin holds all that are higher.
    std::array<std::uint32_t, bins> counts_{};
    std::uint32_t total_ = 0;
    double restored_ = 0.0;
};

} // namespace hemlockdeal::jobs
