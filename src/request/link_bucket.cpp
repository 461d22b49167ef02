// Implementation of the link's token bucket.
#include "request/link_bucket.hpp"

#include <algorithm>

namespace hemlockdeal
{

namespace
{

constexpr double usable_share = 0.8;

} // namespace

void link_bucket::set_rate(std::uint64_t bits_per_second, std::size_t entry_vms)
{
    const auto sharers =
        static_cast<double>(std::max<std::size_t>(1, entry_vms));
    bytes_per_second_ =
        static_cast<double>(bits_per_second) * usable_share / 8.0 / sharers;
    balance_ = std::min(balance_, bytes_per_second_);
}

bool link_bucket::has_room(std::uint64_t bytes, bool can_wait, time_point now)
{
    refill(now);
    const double kept = can_wait ? bytes_per_second_ / 2.0 : 0.0;
    return balance_ - static_cast<double>(bytes) >= kept;
}

void link_bucket::use(std::uint64_t bytes, time_point now)
{
    refill(now);
    balance_ -= static_cast<double>(bytes);
}

void link_bucket::refill(time_point now)
{
    if (started_ && now > refilled_at_)
    {
        const std::chrono::duration<double> passed = now - refilled_at_;
        balance_ = std::min(bytes_per_second_,
                            balance_ + passed.count() * bytes_per_second_);
    }
    if (!started_ || now > refilled_at_)
    {
        refilled_at_ = now;
    }
    started_ = true;
}

} // namespace hemlockdeal
