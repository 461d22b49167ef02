// What the proxy asks of the daemon's other threads.
#pragma once

#include <functional>

#include "core/core.hpp"
#include "request/request.hpp"

namespace hemlockdeal
{

// Called in the proxy's thread; the functions must not block. Those that
// return bool return false when a ring is full, and then leave their argument
// unchanged.
struct proxy_outputs
{
    // Asked again on the next tick when it returns false.
    std::function<bool(send_commit&)> commit;
    // The core is told that the table gave no response when it returns false.
    std::function<bool(read_row&)> read;
    // A lost message costs only time.
    std::function<void(send_to_peer&&)> to_peer;
    std::function<void(record_event&&)> event;
    // One call per request, for metrics.
    std::function<void(const finish_request&)> finished;
};

} // namespace hemlockdeal
