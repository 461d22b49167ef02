// Least squares with forgetting for the slowdown that several fill images
// cause together, for one serving image.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

#include "jobs/fleet_worker.hpp"

namespace hemlockdeal::jobs
{

// A gradient step blames every image that happens to be present; solving for
// all images at once tells them apart.
class pressure_fit
{
public:
    // Share of the worker's processors by fill image.
    using shares = std::vector<std::pair<image_number, double>>;

    // Slowdown beyond 1 that was seen with these shares.
    void add(const shares& used, double slowdown);

    // Brings the pressures up to date and lets old observations fade.
    void solve();

    double pressure(image_number fill_image) const;

    // What was learnt, and taking it over from an earlier leader.
    shares pressures() const;
    void restore(image_number fill_image, double pressure);

private:
    std::size_t index_of(image_number fill_image);

    // In the order of the rows below.
    std::vector<image_number> images_;
    // Normal equations; row-wise sums of products of shares.
    std::vector<std::vector<double>> products_;
    std::vector<double> targets_;
    std::vector<double> pressures_;
};

} // namespace hemlockdeal::jobs
