// Token bucket of the link between regions.
#include "request/link_bucket.hpp"

#include <algorithm>

namespace hemlockdeal
{

namespace
{

constexpr double usable_share = 0.8;
// Simultaneous bursts of all daemons delay control traffic by at most this
// time.
constexpr double burst_seconds = 0.25;

} // namespace

void link_bucket::set_rate(std::uint64_t bits_per_second, std::size_t entry_vms)
{
    const auto entry_vm_count =
        static_cast<double>(std::max<std::size_t>(1, entry_vms));
    bytes_per_second_ = static_cast<double>(bits_per_second) * usable_share /
                        8.0 / entry_vm_count;
    capacity_ = bytes_per_second_ * burst_seconds;
    balance_ = started_ ? std::min(balance_, capacity_) : capacity_;
}

bool link_bucket::has_room(bool is_batch, time_point now)
{
    refill(now);
    return balance_ > (is_batch ? capacity_ / 2.0 : 0.0);
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
        balance_ =
            std::min(capacity_, balance_ + passed.count() * bytes_per_second_);
    }
    if (!started_ || now > refilled_at_)
    {
        refilled_at_ = now;
    }
    started_ = true;
}

} // namespace hemlockdeal
