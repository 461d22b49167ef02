// Settings of the request core: the identity of the daemon and the limits that
// docs/design.md specifies.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/core.hpp"

namespace hemlockdeal
{

struct request_settings
{
    vm_id vm;
    availability_zone_id zone;
    region_id region;
    incarnation process;
    // Seed of the random number generator for routing and slot requests.
    std::uint64_t seed = 1;

    // Maximum share of the target that a request may spend in the queue; the
    // rest is left for the endpoint.
    double max_queue_share = 0.5;
    // An attempt is abandoned at this multiple of the target, but not before
    // `shortest_timeout`, since late responses are still useful.
    double timeout_target_multiple = 10.0;
    duration shortest_timeout = std::chrono::seconds(2);
    // Maximum number of queued requests, which bounds the memory.
    std::size_t max_waiting = 4000;
    unsigned max_attempts = 3;

    double retry_share = 0.1;
    double retries_per_second = 3.0;

    // Share of the slots of an instance that is divided into floors.
    double floor_share = 0.75;

    // Minimum time between two commits of claims. 50 commits per second from
    // each daemon are within what the table accepts.
    duration claim_interval = std::chrono::milliseconds(20);
    duration result_interval = std::chrono::milliseconds(100);
};

} // namespace hemlockdeal
