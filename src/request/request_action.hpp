// Actions that the request core returns to the proxy and the daemon.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "core/core.hpp"
#include "request/request_event.hpp"

namespace hemlockdeal
{

// Sends the request to the instance. The core abandons the attempt at the
// deadline itself; the deadline is given to the proxy for information only.
struct start_attempt
{
    request_id request;
    attempt number;
    instance_id instance;
    std::string address; // ip:port
    time_point deadline;
    // attempt_done must carry the response, up to max_stored_body.
    bool keep_response = false;
};

// Closes the connection of the attempt. Later events of the attempt are
// ignored.
struct abandon_attempt
{
    request_id request;
    attempt number;
};

// Forwards the head and the body of the attempt's response to the caller. If
// the caller is still sending its body, both directions continue.
struct forward_response
{
    request_id request;
    attempt number;
};

// Closes the caller's connection because a forwarded response cannot be
// completed.
struct abort_response
{
    request_id request;
    std::string reason;
};

// Responds with `status` (503, 429, 404 or 409) and the outcome "not-run".
struct respond_not_run
{
    request_id request;
    unsigned status = 503;
    std::string reason;
};

// Responds with `status` (504 or 409) and the outcome "unknown".
struct respond_unknown
{
    request_id request;
    unsigned status = 504;
    std::string reason;
};

// Responds with the stored response of the first request with the same key.
struct respond_stored
{
    request_id request;
    stored_response response;
};

// Sends `GET /healthz` on a new connection. The result is reported to
// on_probe_result().
struct probe_instance
{
    instance_id instance;
    std::string address;
};

enum class request_outcome
{
    done,
    not_run,
    unknown,
    caller_gone
};

// Emitted once for each request when its outcome is known; for metrics.
struct finish_request
{
    request_id request;
    class_id work_class;
    request_outcome outcome = request_outcome::done;
    // Status sent to the caller, or 0 if the caller has disconnected.
    unsigned status = 0;
    duration elapsed{};
    unsigned attempts = 0;
    // Endpoints that stopped responding while they processed the request.
    unsigned endpoints_lost = 0;
};

using request_action =
    std::variant<start_attempt, abandon_attempt, forward_response,
                 abort_response, respond_not_run, respond_unknown,
                 respond_stored, probe_instance, finish_request, send_commit,
                 read_row, send_to_peer, record_event>;

} // namespace hemlockdeal
