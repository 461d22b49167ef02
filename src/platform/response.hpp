// Converts the response to a platform call into a value or an error.
#pragma once

#include <exception>
#include <string>
#include <utility>

#include <QUrl>

#include "core/result.hpp"
#include "platform/http_caller.hpp"
#include "platform/json_fields.hpp"

namespace hemlockdeal
{

// Returns the URL of `path` below `base`, which is "http://ip:port" with or
// without a path, or only "ip:port".
inline QUrl service_url(const std::string& base, const char* path)
{
    const auto with_scheme =
        base.find("://") == std::string::npos ? "http://" + base : base;
    return {QString::fromStdString(with_scheme) + path};
}

inline error response_error(const std::string& service,
                            const call_response& response)
{
    const auto code =
        response.timed_out ? error_code::timeout : error_code::unavailable;
    return {code, response.failure.empty()
                      ? service + " responded with status " +
                            std::to_string(response.status)
                      : service + ": " + response.failure};
}

inline error too_many_calls(const std::string& service)
{
    return {error_code::unavailable,
            service + ": too many outstanding calls; nothing was sent"};
}

// Decodes the body with `decode`, which takes the JSON object and throws on
// unexpected content.
template <typename T, typename Decode>
result<T> decode_response(const std::string& service,
                          const call_response& response, Decode decode,
                          const boost::json::parse_options& options = {})
{
    try
    {
        const auto document =
            json_fields::parse({response.body.constData(),
                                static_cast<std::size_t>(response.body.size())},
                               options);
        return result<T>(decode(json_fields::object(document, "response")));
    }
    catch (const std::exception& fault)
    {
        return error{error_code::invalid_input,
                     service + " sent a malformed response: " + fault.what()};
    }
}

} // namespace hemlockdeal
