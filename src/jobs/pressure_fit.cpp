// Coordinate descent for the least-squares fit, with pressures bounded below by
// zero.
#include "jobs/pressure_fit.hpp"

#include <algorithm>
#include <numeric>

namespace hemlockdeal::jobs
{

namespace
{

// Most pairs of images interfere little; the prior keeps rarely observed pairs
// near this value.
constexpr double prior_pressure = 1.5;
constexpr double prior_weight = 0.08;
constexpr double max_pressure = 12.0;
constexpr double forgetting_factor = 0.985;
constexpr int descent_rounds = 6;
// A restored pressure counts like this many observations of an image that uses
// the whole worker.
constexpr double restored_weight = 0.4;

} // namespace

std::size_t pressure_fit::index_of(image_hash fill_image)
{
    const auto found = std::ranges::find(images_, fill_image);
    if (found != images_.end())
    {
        return static_cast<std::size_t>(found - images_.begin());
    }
    images_.push_back(fill_image);
    for (auto& row : normal_matrix_)
    {
        row.push_back(0.0);
    }
    normal_matrix_.emplace_back(images_.size(), 0.0);
    right_side_.push_back(0.0);
    pressures_.push_back(prior_pressure);
    return images_.size() - 1;
}

void pressure_fit::add(const shares& used, double slowdown)
{
    std::vector<std::pair<std::size_t, double>> indexed;
    for (const auto& [image, share] : used)
    {
        indexed.emplace_back(index_of(image), share);
    }
    for (const auto& [i, share] : indexed)
    {
        right_side_[i] += share * slowdown;
        for (const auto& [k, other] : indexed)
        {
            normal_matrix_[i][k] += share * other;
        }
    }
}

void pressure_fit::solve()
{
    for (int round = 0; round < descent_rounds; ++round)
    {
        for (std::size_t i = 0; i < pressures_.size(); ++i)
        {
            double residual = right_side_[i] + prior_weight * prior_pressure;
            for (std::size_t k = 0; k < pressures_.size(); ++k)
            {
                residual -= k == i ? 0.0 : normal_matrix_[i][k] * pressures_[k];
            }
            pressures_[i] =
                std::clamp(residual / (normal_matrix_[i][i] + prior_weight),
                           0.0, max_pressure);
        }
    }
    for (std::size_t i = 0; i < pressures_.size(); ++i)
    {
        right_side_[i] *= forgetting_factor;
        std::ranges::for_each(normal_matrix_[i],
                              [](double& sum) { sum *= forgetting_factor; });
    }
}

double pressure_fit::pressure(image_hash fill_image) const
{
    const auto found = std::ranges::find(images_, fill_image);
    return found == images_.end()
               ? prior_pressure
               : pressures_[static_cast<std::size_t>(found - images_.begin())];
}

double pressure_fit::mean_pressure() const
{
    return std::accumulate(pressures_.begin(), pressures_.end(),
                           prior_pressure) /
           static_cast<double>(pressures_.size() + 1);
}

pressure_fit::shares pressure_fit::pressures() const
{
    shares out;
    for (std::size_t i = 0; i < images_.size(); ++i)
    {
        out.emplace_back(images_[i], pressures_[i]);
    }
    return out;
}

void pressure_fit::restore(image_hash fill_image, double pressure)
{
    const auto i = index_of(fill_image);
    pressures_[i] = pressure;
    normal_matrix_[i][i] += restored_weight;
    right_side_[i] += restored_weight * pressure;
}

} // namespace hemlockdeal::jobs
