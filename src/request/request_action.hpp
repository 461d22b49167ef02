// Actions that the request core asks the proxy and the daemon to carry out.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "core/core.hpp"
#include "request/request_event.hpp"

namespace hemlockdeal
{

// Sends the request to the instance. The core abandons the attempt itself at
// the deadline; the deadline is for the proxy's information.
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

// Closes the attempt's connection. Further events of the attempt are ignored.
struct abandon_attempt
{
    request_id request;
    attempt number;
};

// Forwards the response of this attempt, head and body, to the caller. When
// the caller still sends its body, both directions continue.
struct forward_response
{
    request_id request;
    attempt number;
};

// Closes the caller's connection, because a forwarded response cannot be
// completed.
struct abort_response
{
    request_id request;
    std::string reason;
};

// Answers with `status` (503, 429, 404 or 409) and outcome "not-run".
struct respond_not_run
{
    request_id request;
    unsigned status = 503;
    std::string reason;
};

// Answers with `status` (504 or 409) and outcome "unknown".
struct respond_unknown
{
    request_id request;
    unsigned status = 504;
    std::string reason;
};

// Answers with the stored response of the first request with the same key.
struct respond_stored
{
    request_id request;
    stored_response response;
};

// Sends `GET /healthz` on a new connection; comes back as on_probe_result.
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

// Emitted once when a request has its outcome; for metrics.
struct finish_request
{
    request_id request;
    class_id work_class;
    request_outcome outcome = request_outcome::done;
    // Status given to the caller, 0 when the caller is gone.
    unsigned status = 0;
    duration elapsed{};
    unsigned attempts = 0;
};

using request_action =
    std::variant<start_attempt, abandon_attempt, forward_response,
                 abort_response, respond_not_run, respond_unknown,
                 respond_stored, probe_instance, finish_request, send_commit,
                 read_row, send_to_peer, record_event>;

} // namespace hemlockdeal
