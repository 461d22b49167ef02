// Bounded pairwise slowdown coefficients.
#include "batch/interference_model.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hemlockdeal
{

namespace
{

constexpr float learning_rate = 0.2F;
// Keeps small changes of the neighbours, which measure mostly noise, from
// moving the coefficients.
constexpr float regularisation = 0.02F;
constexpr float smallest_change = 0.02F;
constexpr float largest_coefficient = 8.0F;
constexpr std::uint8_t enough_samples = 8;
constexpr float unknown_coefficient = 0.3F;

} // namespace

void interference_model::learn(std::size_t victim,
                               const rate_difference& difference)
{
    const class_loads& change = difference.neighbours;
    const float energy = std::inner_product(change.begin(), change.end(),
                                            change.begin(), regularisation);
    // Limits the effect of one broken report.
    const float rate = std::clamp(difference.rate, -3.0F, 3.0F);
    const float error = rate + slowdown(victim, change);
    for (std::size_t kind = 0; kind < change.size(); ++kind)
    {
        if (std::abs(change[kind]) < smallest_change)
        {
            continue;
        }
        float& coefficient = coefficients_[victim][kind];
        coefficient = std::clamp(coefficient - learning_rate * error *
                                                   change[kind] / energy,
                                 0.0F, largest_coefficient);
        std::uint8_t& samples = samples_[victim][kind];
        samples += samples < UINT8_MAX ? 1U : 0U;
    }
}

float interference_model::slowdown(std::size_t victim,
                                   const class_loads& neighbours) const
{
    return std::inner_product(neighbours.begin(), neighbours.end(),
                              coefficients_[victim].begin(), 0.0F);
}

float interference_model::suspected(std::size_t victim,
                                    std::size_t neighbour) const
{
    return samples_[victim][neighbour] < enough_samples
               ? std::max(unknown_coefficient, coefficient(victim, neighbour))
               : coefficient(victim, neighbour);
}

} // namespace hemlockdeal
