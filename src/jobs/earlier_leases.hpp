// What is known of the leases that earlier leaders granted.
#pragma once

#include <cstdint>
#include <optional>

#include "core/core.hpp"

namespace hemlockdeal::jobs
{

// When the leases on one worker end, as known to a leader that hands its
// leadership over.
struct lease_bound
{
    // Epoch of that leader, which extends no lease afterwards.
    std::uint64_t epoch = 0;
    store_time ends_at{};

    friend bool operator==(const lease_bound&, const lease_bound&) = default;
};

// What a new leader knows of its predecessors.
struct earlier_leaders
{
    // The last leader extends no lease any more.
    bool last_has_ended = false;
    // Epoch of the last leader if it handed its leadership over; otherwise 0.
    std::uint64_t handed_over_epoch = 0;
    // When the leases end on workers for which no bound is stored, if the last
    // leader stored it.
    std::optional<store_time> leases_end{};
};

} // namespace hemlockdeal::jobs
