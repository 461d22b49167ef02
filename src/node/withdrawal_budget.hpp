// Bounds the rate at which an entry VM stores withdrawals.
#pragma once

#include <algorithm>
#include <chrono>

#include "core/time.hpp"

namespace hemlockdeal::node
{

// A token bucket. Cancellations of ids that nobody has submitted must not fill
// the store or take its writes from other callers.
class withdrawal_budget
{
public:
    // False if no further withdrawal may be stored at present.
    bool take(time_point now)
    {
        const auto passed =
            std::chrono::duration<double>(now - refilled_at_).count();
        tokens_ = std::min(max_burst,
                           tokens_ + std::max(passed, 0.0) * max_per_second);
        refilled_at_ = now;
        if (tokens_ < 1.0)
        {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

    static constexpr double max_per_second = 5.0;
    static constexpr double max_burst = 50.0;

private:
    double tokens_ = max_burst;
    time_point refilled_at_{};
};

} // namespace hemlockdeal::node
