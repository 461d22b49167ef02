// Settings of the request core: the identity of the daemon and the limits that
// the design page states.
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
    // Seed of the generator behind random choices.
    std::uint64_t seed = 1;

    // A request waits in the queue for at most this share of its target; the
    // rest is left for the endpoint.
    double max_queue_share = 0.5;
    // An attempt is abandoned at this multiple of the target, and at
    // `shortest_timeout` at the earliest: late responses are still useful.
    double timeout_target_multiple = 10.0;
    duration shortest_timeout = std::chrono::seconds(2);
    // Upper bound of the queue, so that memory stays bounded.
    std::size_t max_waiting = 4000;
    unsigned max_attempts = 3;

    double retry_share = 0.1;
    double retries_per_second = 3.0;

    // Share of an instance's slots that floors divide.
    double floor_share = 0.75;

    // Shortest time between two commits of claims: 50 a second from each
    // daemon fit into what the table accepts.
    duration claim_interval = std::chrono::milliseconds(20);
    duration result_interval = std::chrono::milliseconds(100);
};

} // namespace hemlockdeal
