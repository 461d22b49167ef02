// Token bucket for this daemon's share of the link between regions.
#pragma once

#include <cstdint>

#include "core/core.hpp"

namespace hemlockdeal
{

// A request may use the link while the balance is positive. Its bytes may make
// the balance negative, so that bodies larger than the bucket pass. Batch
// requests need at least half of the bucket. Control traffic is counted but
// never refused.
class link_bucket
{
public:
    // Divides `bits_per_second` among the entry VMs of the region. 20% are left
    // for traffic that is not counted, such as the overhead of TCP.
    void set_rate(std::uint64_t bits_per_second, std::size_t entry_vms);

    bool has_room(bool is_batch, time_point now);
    void use(std::uint64_t bytes, time_point now);

private:
    void refill(time_point now);

    double bytes_per_second_ = 0.0;
    // Invariant: at most capacity_.
    double balance_ = 0.0;
    double capacity_ = 0.0;
    time_point refilled_at_{};
    bool started_ = false;
};

} // namespace hemlockdeal
