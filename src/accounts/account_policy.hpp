// Limits and share of a client account.
#pragma once

#include <cstdint>

#include "core/core.hpp"

namespace hemlockdeal::accounts
{

// The most that an account may have running; 0 means no limit.
struct resource_cap
{
    std::int64_t processor_millis = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    friend bool operator==(const resource_cap&, const resource_cap&) = default;
};

struct account_policy
{
    account_id id;
    // Share in proportion to the weights of the other accounts. Invariant:
    // above 0.
    std::int64_t weight = 1;
    resource_cap cap;

    friend bool operator==(const account_policy&,
                           const account_policy&) = default;
};

} // namespace hemlockdeal::accounts
