// Notes in the store's health whether a call got a response.
#pragma once

#include <type_traits>
#include <variant>

#include "node/store_health.hpp"
#include "node/store_message.hpp"

namespace hemlockdeal::node
{

// True for outcomes of calls to which the store did not respond.
template <typename Result>
inline constexpr bool is_store_failure =
    std::is_same_v<Result, not_done> || std::is_same_v<Result, outcome_unknown>;

// `outcome` is a variant of possible results of a store call.
template <typename Outcome>
void record_outcome(store_health& health, const Outcome& outcome,
                    time_point now)
{
    std::visit(
        [&]<typename Result>(const Result& result) {
            if constexpr (is_store_failure<Result>)
            {
                health.on_failure(result.reason);
            }
            else
            {
                health.on_response(now);
            }
        },
        outcome);
}

} // namespace hemlockdeal::node
