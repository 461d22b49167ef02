// State of one caller's request in the proxy, and of its attempts.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/core.hpp"
#include "proxy/endpoint_connection.hpp"
#include "proxy/endpoint_pool.hpp"
#include "proxy/http_codec.hpp"
#include "request/request.hpp"

namespace hemlockdeal
{

// One try to send a request to an instance.
struct request_attempt
{
    request_id request;
    attempt number;
    bool keep_response = false;
    // Nothing while the attempt waits for a connection, and after its end.
    endpoint_connection* connection = nullptr;
    bool sending = false;
    // Bytes of the request's body that were written.
    std::uint64_t body_sent = 0;

    std::optional<http::response_header<>> head;
    std::optional<std::uint64_t> length;
    // Received and not yet forwarded.
    std::string pending;
    std::uint64_t response_bytes = 0;
    bool complete = false;
    // Beginning of the body, for the stored result.
    std::optional<stored_response> kept;
};

struct exchange
{
    // 0 when the caller is gone.
    std::uint64_t caller = 0;
    std::vector<lease_number> attempts;
    // The attempt whose response goes to the caller.
    std::optional<lease_number> forwarded;
    bool forwarding_started = false;
    // The core has stated the outcome.
    bool finished = false;
    // The caller has its response, or cannot get one.
    bool answered = false;
};

// What the core needs to know of a response's headers.
attempt_head summary_of(const http::response_header<>& head);

// Removes what concerns only the connection to the endpoint, and returns the
// stated length of the body, if any.
std::optional<std::uint64_t> make_forwardable(http::response_header<>& head);

stored_response start_of_stored(const http::response_header<>& head);
http::response_header<> head_of(const stored_response& response);

} // namespace hemlockdeal
