// Rules of the request core on which its guarantees depend. They are a template
// parameter, so that tests can break one rule at a time and verify that the
// violation is detected.
#pragma once

#include <concepts>
#include <cstdint>

#include "request/power_of_two_choices.hpp"

namespace hemlockdeal
{

struct standard_request_policy
{
    using route_choice = power_of_two_choices;

    // Instances that fail or are slow are temporarily removed from routing.
    static constexpr bool ejects_instances() { return true; }

    // Requests that would be started too late are refused immediately.
    static constexpr bool limits_queue_wait() { return true; }

    // A request that may have run is resent only if it is idempotent.
    static constexpr bool may_send_again(bool bytes_sent, bool idempotent)
    {
        return !bytes_sent || idempotent;
    }

    static constexpr bool may_report_not_run(bool bytes_sent,
                                             bool endpoint_confirmed)
    {
        return !bytes_sent || endpoint_confirmed;
    }

    static constexpr bool has_slot(std::uint32_t in_flight, std::uint32_t share)
    {
        return in_flight < share;
    }

    static constexpr bool may_retry(bool budget_has_room)
    {
        return budget_has_room;
    }

    static constexpr bool may_receive(bool leaving) { return !leaving; }

    // A claim whose commit got no response is not considered held until the
    // table confirms it.
    static constexpr bool holds_unresolved_claim() { return false; }

    // A coordinator lends only slots that are not lent to another daemon.
    static constexpr bool tracks_loans() { return true; }
};

template <typename Policy>
concept request_policy = requires
{
    typename Policy::route_choice;
    {
        Policy::ejects_instances()
        } -> std::same_as<bool>;
    {
        Policy::limits_queue_wait()
        } -> std::same_as<bool>;
    {
        Policy::may_send_again(true, true)
        } -> std::same_as<bool>;
    {
        Policy::may_report_not_run(true, true)
        } -> std::same_as<bool>;
    {
        Policy::has_slot(1U, 1U)
        } -> std::same_as<bool>;
    {
        Policy::may_retry(true)
        } -> std::same_as<bool>;
    {
        Policy::may_receive(true)
        } -> std::same_as<bool>;
    {
        Policy::holds_unresolved_claim()
        } -> std::same_as<bool>;
};

} // namespace hemlockdeal
