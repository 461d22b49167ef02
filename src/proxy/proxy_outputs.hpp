// Requests of the proxy to the daemon's other threads.
#pragma once

#include <functional>

#include "core/core.hpp"
#include "request/request.hpp"

namespace hemlockdeal
{

// Called in the proxy's thread; the functions must not block. Those that return
// bool return false if a ring buffer is full, and then leave their argument
// unchanged.
struct proxy_outputs
{
    // Retried on the next tick if it returns false.
    std::function<bool(send_commit&)> commit;
    // If it returns false, the core gets an `overloaded` error as the reply.
    std::function<bool(read_row&)> read;
    // A lost message only causes a delay.
    std::function<void(send_to_peer&&)> to_peer;
    std::function<void(record_event&&)> event;
    // Called once per request, for metrics.
    std::function<void(const finish_request&)> finished;
};

} // namespace hemlockdeal
