// Learns by how much each class slows each other class down.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "batch/class_table.hpp"
#include "batch/rate_series.hpp"

namespace hemlockdeal
{

// log(slowdown of a victim) = sum over neighbours of
// coefficient(victim, neighbour) x share of the processors they use.
class interference_model
{
public:
    // Corrects the coefficients of `victim` by a measured difference
    // (normalised least mean squares).
    void learn(std::size_t victim, const rate_difference& difference);

    // Logarithm of the predicted slowdown.
    float slowdown(std::size_t victim, const class_loads& neighbours) const;
    float coefficient(std::size_t victim, std::size_t neighbour) const
    {
        return coefficients_[victim][neighbour];
    }
    // The coefficient, or a cautious value while there are few samples.
    float suspected(std::size_t victim, std::size_t neighbour) const;
    const class_loads& coefficients(std::size_t victim) const
    {
        return coefficients_[victim];
    }

private:
    std::array<class_loads, class_table::limit> coefficients_{};
    std::array<std::array<std::uint8_t, class_table::limit>, class_table::limit>
        samples_{};
};

} // namespace hemlockdeal
