// Response time estimate.
#include "request/response_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace hemlockdeal
{

void response_estimate::add(duration sample)
{
    ++samples_;
    const auto value = static_cast<double>(sample.count());
    // The first samples have a higher weight, so that the estimate is usable
    // early.
    const double weight = std::max(gain_, 1.0 / static_cast<double>(samples_));
    deviation_ += weight * (std::abs(value - mean_) - deviation_);
    mean_ += weight * (value - mean_);
}

duration response_estimate::tail() const
{
    return duration(static_cast<long>(mean_ + 3.0 * deviation_));
}

} // namespace hemlockdeal
