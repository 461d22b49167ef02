// Exponentially weighted means with a plain mean for the first samples.
#include "batch/rate_series.hpp"

#include <algorithm>
#include <span>

namespace hemlockdeal
{

bool rate_series::add(float rate, const class_loads& neighbours,
                      rate_difference& difference)
{
    const bool first = samples_ == 0;
    samples_ += samples_ < UINT16_MAX ? 1U : 0U;
    const float weight = std::max(0.1F, 1.0F / static_cast<float>(samples_));
    difference.rate = rate - rate_;
    difference.neighbours = neighbours;
    rate_ += weight * difference.rate;

    for (mean& m : std::span(means_).first(used_))
    {
        float& change = difference.neighbours[m.kind];
        change -= m.value;
        m.value += weight * change;
    }
    // A class that is new to the series was absent before.
    for (std::size_t kind = 0; kind < neighbours.size(); ++kind)
    {
        const auto known = std::span(means_).first(used_);
        if (neighbours[kind] <= 0.0F ||
            std::ranges::find(known, kind, &mean::kind) != known.end())
        {
            continue;
        }
        if (used_ == means_at_most)
        {
            difference.neighbours[kind] = 0.0F;
            continue;
        }
        means_[used_++] = {static_cast<std::uint16_t>(kind),
                           weight * neighbours[kind]};
    }
    return !first;
}

} // namespace hemlockdeal
