// What is known of the leases that earlier leaders granted.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "core/core.hpp"

namespace hemlockdeal::jobs
{

// Leases on one worker, as known to a leader that hands its leadership over.
struct lease_bound
{
    // Epoch of that leader, which extends no lease afterwards.
    std::uint64_t epoch = 0;
    // Time from the hand-over until all leases on the worker have expired.
    std::chrono::milliseconds left{};

    friend bool operator==(const lease_bound&, const lease_bound&) = default;
};

// Rounded up; 0 in the past.
inline std::chrono::milliseconds time_left(time_point until, time_point now)
{
    return std::chrono::ceil<std::chrono::milliseconds>(
        std::max(until - now, duration{}));
}

// What a new leader knows of its predecessors.
struct earlier_leaders
{
    // The last leader extends no lease any more.
    bool last_has_ended = false;
    // Epoch of the last leader if it handed its leadership over; otherwise 0.
    std::uint64_t handed_over_epoch = 0;
    // Time until the leases granted by the leaders before the last one have
    // expired.
    duration leases_left{};
};

} // namespace hemlockdeal::jobs
