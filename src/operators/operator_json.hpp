// Conversion between operator messages and HTTP with JSON bodies. The server
// parses requests and serializes replies; hemlockdealctl does the reverse.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "core/finding.hpp"
#include "core/operator_message.hpp"
#include "observe/timeline.hpp"

namespace hemlockdeal
{

// HTTP form of a request. `target` is the path including the query.
struct operator_http_request
{
    std::string method; // "GET" or "POST"
    std::string target;
    std::string body; // JSON, empty for none
};

struct operator_http_reply
{
    int status = 200;
    std::string body; // JSON
};

// Reason for rejecting a request before it is dispatched.
struct request_refusal
{
    int status = 400;
    error reason;
    findings found;
};

operator_http_request to_http(const operator_request& request);

// Parses a request. `path` and `limit`, the query parameter of that name, must
// be percent-decoded already.
std::variant<operator_request, request_refusal>
read_request(std::string_view method, std::string_view path,
             std::string_view limit, std::string_view body);

operator_http_reply to_http(const operator_reply& reply);
operator_http_reply to_http(const request_refusal& refusal);

// A parsed reply; only errors carry findings.
struct operator_reply_result
{
    operator_reply reply;
    findings found;
};

// Parses the reply to `request`. A malformed body gives an error with the code
// outcome_unknown, since the request may have been carried out.
operator_reply_result read_reply(const operator_request& request, int status,
                                 std::string_view body);

std::string to_json_text(const timeline_part& part);
std::variant<timeline_part, findings> read_timeline(std::string_view body);

// Name on the wire, such as "invalid_input" or "not_found".
std::string_view to_text(error_code code);

// "never_ran", "was_stopped", "unknown_yet" or "already_finished".
std::string_view to_text(cancel_outcome outcome);

} // namespace hemlockdeal
