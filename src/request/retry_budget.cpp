// Retry budget, a token bucket.
#include "request/retry_budget.hpp"

#include <algorithm>

namespace hemlockdeal
{

retry_budget::retry_budget(double share, double per_second)
    : share_(share), per_second_(per_second)
{}

void retry_budget::count_request()
{
    balance_ = std::min(burst, balance_ + share_);
}

bool retry_budget::has_room(time_point now)
{
    refill(now);
    return balance_ >= 1.0;
}

void retry_budget::take()
{
    balance_ -= 1.0;
}

void retry_budget::refill(time_point now)
{
    if (started_ && now > refilled_at_)
    {
        const std::chrono::duration<double> passed = now - refilled_at_;
        balance_ = std::min(burst, balance_ + passed.count() * per_second_);
    }
    if (!started_ || now > refilled_at_)
    {
        refilled_at_ = now;
    }
    started_ = true;
}

} // namespace hemlockdeal
