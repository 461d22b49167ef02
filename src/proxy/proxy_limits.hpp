// Limits of the proxy; the defaults are the figures of the design page.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/core.hpp"

namespace hemlockdeal
{

struct proxy_limits
{
    std::uint32_t header_bytes = 16U * 1024U;
    std::uint64_t body_bytes = std::uint64_t{16} * 1024 * 1024;
    // Bytes of a body that are held in each direction.
    std::size_t window = std::size_t{256} * 1024;
    std::size_t callers = 4000;

    // From the first byte of a request until its headers are complete.
    duration header_time = std::chrono::seconds(5);
    // Longest time without a byte of a request body that is expected.
    duration body_stall = std::chrono::seconds(5);
    // Longest time without a request, or in which a caller reads nothing of
    // its response.
    duration idle_time = std::chrono::seconds(60);
    // Rejected callers may send this long until their connection is closed;
    // closing at once would reset it and lose the response.
    duration linger_time = std::chrono::seconds(1);

    duration connect_time = std::chrono::seconds(1);
    // A connection to an endpoint that was idle longer is probed before use.
    duration probe_after_idle = std::chrono::seconds(5);
    duration probe_time = std::chrono::milliseconds(500);
    duration endpoint_idle_time = std::chrono::seconds(60);

    // From the start of the planned stop until the listener closes, so that
    // the balancer sees the health path answer 503 first.
    duration drain_delay = std::chrono::seconds(2);
    // In a planned stop, callers' connections that were quiet for this long
    // after the drain delay are closed.
    duration drain_quiet = std::chrono::seconds(1);
};

} // namespace hemlockdeal
