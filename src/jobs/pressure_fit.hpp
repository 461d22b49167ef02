// Least-squares fit with exponential forgetting of the slowdown that several
// fill images cause together, for one serving image.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

#include "jobs/fleet_worker.hpp"

namespace hemlockdeal::jobs
{

// Solves for all images at once, because a gradient step would attribute the
// slowdown to every image that happens to be present.
class pressure_fit
{
public:
    // Share of the worker's processors per fill image.
    using shares = std::vector<std::pair<image_hash, double>>;

    // Adds an observation: the slowdown beyond 1 with these shares.
    void add(const shares& used, double slowdown);

    // Updates the pressures and decays the weight of old observations.
    void solve();

    double pressure(image_hash fill_image) const;

    // Mean over the known fill images and one unknown.
    double mean_pressure() const;

    // The learnt pressures, and their restoration by a new leader.
    shares pressures() const;
    void restore(image_hash fill_image, double pressure);

private:
    std::size_t index_of(image_hash fill_image);

    // The image of each row below.
    std::vector<image_hash> images_;
    // Normal equations: the matrix holds weighted sums of products of shares.
    std::vector<std::vector<double>> normal_matrix_;
    std::vector<double> right_side_;
    std::vector<double> pressures_;
};

} // namespace hemlockdeal::jobs
