// What is known of the leases that earlier leaders granted.
#pragma once

#include <cstdint>
#include <optional>

#include "core/core.hpp"

namespace hemlockdeal::jobs
{

// When the leases on one worker end. Invariant: while it is stored, no leader
// extends a lease there.
struct lease_bound
{
    // Epoch of the leader that stored it.
    std::uint64_t epoch = 0;
    store_time ends_at{};

    friend bool operator==(const lease_bound&, const lease_bound&) = default;
};

// What a new leader knows of its predecessors.
struct earlier_leaders
{
    // The last leader extends no lease any more.
    bool last_has_ended = false;
    // Bounds that leaders of this epoch and later ones have stored hold; 0 if
    // none does.
    std::uint64_t bounds_since = 0;
    // When the leases end on workers for which no bound is stored, if the last
    // leader stored it.
    std::optional<store_time> leases_end{};
};

} // namespace hemlockdeal::jobs
