// State of a caller's request in the proxy, and of its attempts.
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

// Attempt to send a request to an instance.
struct request_attempt
{
    request_id request;
    attempt number;
    bool keep_response = false;
    // Null while the attempt waits for a connection and after its end.
    endpoint_connection* connection = nullptr;
    bool sending = false;
    // Number of bytes of the request body that were written.
    std::uint64_t body_sent = 0;

    std::optional<http::response_header<>> head;
    std::optional<std::uint64_t> length;
    // Response bytes that were received but not forwarded.
    std::string pending;
    std::uint64_t response_bytes = 0;
    bool complete = false;
    // Response to be stored as the result; reset if its body is too large.
    std::optional<stored_response> stored;
};

struct exchange
{
    // Identifier of the caller connection, 0 after it ended or got its
    // response.
    std::uint64_t caller = 0;
    std::vector<lease_number> attempts;
    // Attempt whose response is forwarded to the caller.
    std::optional<lease_number> forwarded;
    bool forwarding_started = false;
    // The core has reported the outcome.
    bool finished = false;
    // The response is complete or cannot be delivered.
    bool response_ended = false;
};

// Extracts the properties of a response's headers that the core evaluates.
attempt_head summarize(const http::response_header<>& head);

// Removes the headers that apply only to the endpoint connection, and returns
// the declared length of the body, if any.
std::optional<std::uint64_t> make_forwardable(http::response_header<>& head);

stored_response begin_stored_response(const http::response_header<>& head);
http::response_header<> head_of(const stored_response& response);

} // namespace hemlockdeal
