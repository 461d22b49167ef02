// Turns the answer of a platform call into a value or an error.
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

// The URL of `path` at `base`, which is "http://ip:port" with or without a
// path of its own, or only "ip:port".
inline QUrl service_url(const std::string& base, const char* path)
{
    const auto with_scheme =
        base.find("://") == std::string::npos ? "http://" + base : base;
    return {QString::fromStdString(with_scheme) + path};
}

inline error no_answer(const std::string& service, const http_answer& answer)
{
    const auto code =
        answer.timed_out ? error_code::timeout : error_code::unavailable;
    return {code, answer.failure.empty() ? service + " answered with status " +
                                               std::to_string(answer.status)
                                         : service + ": " + answer.failure};
}

inline error too_many_calls(const std::string& service)
{
    return {error_code::unavailable,
            service + ": too many calls are outstanding, nothing was sent"};
}

// Decodes the body with `decode`, which takes the JSON object and throws on
// content that it does not expect.
template <typename T, typename Decode>
result<T> decode_answer(const std::string& service, const http_answer& answer,
                        Decode decode)
{
    try
    {
        const auto document =
            json_fields::parse({answer.body.constData(),
                                static_cast<std::size_t>(answer.body.size())});
        return result<T>(decode(json_fields::object(document, "answer")));
    }
    catch (const std::exception& fault)
    {
        return error{error_code::invalid_input,
                     service + " sent a malformed answer: " + fault.what()};
    }
}

} // namespace hemlockdeal
