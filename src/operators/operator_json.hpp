// Conversion between the operators' messages and HTTP with JSON, in both
// directions: the server reads requests and writes replies, the tool the
// other way round.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "core/finding.hpp"
#include "core/operator_message.hpp"
#include "observe/timeline.hpp"

namespace hemlockdeal
{

// A request as it goes over HTTP. `target` is the path with the query.
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

// Why a request was not handed on.
struct request_refusal
{
    int status = 400;
    error reason;
    findings found;
};

operator_http_request to_http(const operator_request& request);

// `path` and the values of `query` are percent-decoded.
std::variant<operator_request, request_refusal>
read_request(std::string_view method, std::string_view path,
             std::string_view limit, std::string_view body);

operator_http_reply to_http(const operator_reply& reply);
operator_http_reply to_http(const request_refusal& refusal);

// A reply as the tool sees it; findings come with errors only.
struct operator_reply_result
{
    operator_reply reply;
    findings found;
};

// Reads the reply to `request`. A body that does not fit gives an error with
// the code outcome_unknown.
operator_reply_result read_reply(const operator_request& request, int status,
                                 std::string_view body);

std::string to_json_text(const timeline_part& part);
std::variant<timeline_part, findings> read_timeline(std::string_view body);

// "invalid_input", "not_found" and so on.
std::string_view to_text(error_code code);

// "never_ran", "was_stopped", "unknown_yet" or "already_finished".
std::string_view to_text(cancel_outcome outcome);

} // namespace hemlockdeal
