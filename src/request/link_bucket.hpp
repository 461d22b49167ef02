// This daemon's share of the link between regions, as a token bucket.
#pragma once

#include <cstdint>

#include "core/core.hpp"

namespace hemlockdeal
{

// A request may use the link while the balance is positive, and its bytes may
// make the balance negative, so that large bodies pass. Batch requests need
// half of the bucket. Control traffic is counted and never refused.
class link_bucket
{
public:
    // Shares `bits_per_second` among the region's entry VMs; 20% stay free for
    // traffic that is not counted, such as TCP's own.
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
