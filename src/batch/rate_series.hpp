// Running means of a rate and of the neighbours it was measured with.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "batch/class_table.hpp"

namespace hemlockdeal
{

// A sample as a difference to the means of its series, which removes the
// part of the rate that is the task's own.
struct rate_difference
{
    float rate = 0.0F;
    class_loads neighbours{};
};

class rate_series
{
public:
    // Adds a logarithmic rate; false for the first sample, which has no
    // difference yet.
    bool add(float rate, const class_loads& neighbours,
             rate_difference& difference);

    std::uint32_t samples() const { return samples_; }

private:
    struct mean
    {
        std::uint16_t kind = 0;
        float value = 0.0F;
    };

    // More classes than this are rarely next to one task; others are left
    // out.
    static constexpr std::size_t means_at_most = 6;

    float rate_ = 0.0F;
    std::array<mean, means_at_most> means_{};
    std::uint16_t used_ = 0;
    std::uint16_t samples_ = 0;
};

} // namespace hemlockdeal
