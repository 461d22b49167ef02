// Limits of the proxy; the defaults are specified in the design document.
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
    // Number of body bytes that are buffered in each direction.
    std::size_t window = std::size_t{256} * 1024;
    std::size_t callers = 4000;
    // Number of bytes of all requests and responses that are buffered at once.
    std::size_t buffered_bytes = std::size_t{256} * 1024 * 1024;

    // Maximum time from the first byte of a request until its headers are
    // complete.
    duration header_time = std::chrono::seconds(5);
    // Maximum time without a byte of a request body that is incomplete.
    duration body_idle_time = std::chrono::seconds(5);
    // Maximum time without a request, or without progress of a caller in
    // reading its response.
    duration idle_time = std::chrono::seconds(60);
    // When there are too many callers, connections that were idle for longer
    // are closed to accept new ones.
    duration min_idle_time = std::chrono::seconds(1);
    // Time during which a rejected caller may continue to send until its
    // connection is closed; closing it immediately would reset it and lose the
    // response.
    duration linger_time = std::chrono::seconds(1);

    duration connect_time = std::chrono::seconds(1);
    // An endpoint connection that was idle for longer is probed before use.
    duration probe_after_idle = std::chrono::seconds(5);
    duration probe_time = std::chrono::milliseconds(500);
    duration endpoint_idle_time = std::chrono::seconds(60);

    // Delay from the start of draining until the listener closes, so that the
    // load balancer sees the health check fail with 503 first.
    duration drain_delay = std::chrono::seconds(2);
    // After the drain delay, callers' connections that were idle for this long
    // are closed.
    duration drain_idle_time = std::chrono::seconds(1);
};

} // namespace hemlockdeal
