// Converts between the library's messages and Boost.Beast's.
#include "http/http_message.hpp"

#include <algorithm>

#include <boost/beast/core.hpp>

namespace hemlockdeal
{

namespace
{

namespace bhttp = boost::beast::http;

constexpr unsigned http_version_1_1 = 11;

template <bool IsRequest>
std::string serialize(bhttp::message<IsRequest, bhttp::string_body>& message)
{
    std::string bytes;
    bhttp::serializer<IsRequest, bhttp::string_body> serializer(message);
    boost::beast::error_code error;
    while (!serializer.is_done() && !error)
    {
        serializer.next(error, [&](boost::beast::error_code& inner,
                                   const auto& buffers) {
            inner = {};
            std::size_t total = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers))
            {
                bytes.append(static_cast<const char*>(buffer.data()),
                             buffer.size());
                total += buffer.size();
            }
            serializer.consume(total);
        });
    }
    return bytes;
}

} // namespace

std::string_view header_value(const http_headers& headers,
                              std::string_view name)
{
    const auto found = std::ranges::find_if(headers, [&](const auto& header) {
        return boost::beast::iequals(header.first, {name.data(), name.size()});
    });
    return found == headers.end() ? std::string_view{} : found->second;
}

std::string to_bytes(const http_request& request)
{
    bhttp::request<bhttp::string_body> message;
    message.version(http_version_1_1);
    message.method_string(request.method);
    message.target(request.target);
    message.set(bhttp::field::host, request.host);
    for (const auto& [name, value] : request.headers)
    {
        message.set(name, value);
    }
    if (!request.body.empty())
    {
        message.set(bhttp::field::content_type, "application/json");
    }
    message.body() = request.body;
    message.prepare_payload();
    return serialize(message);
}

std::string to_bytes(const http_response& response, bool close)
{
    bhttp::response<bhttp::string_body> message;
    message.version(http_version_1_1);
    message.result(response.status);
    for (const auto& [name, value] : response.headers)
    {
        message.set(name, value);
    }
    const bool has_type =
        !header_value(response.headers, "Content-Type").empty();
    if (!response.body.empty() && !has_type)
    {
        message.set(bhttp::field::content_type, "application/json");
    }
    message.keep_alive(!close);
    message.body() = response.body;
    message.prepare_payload();
    return serialize(message);
}

http_request to_request(const bhttp::request<bhttp::string_body>& message)
{
    http_request request;
    const auto method = message.method_string();
    request.method.assign(method.data(), method.size());
    request.target.assign(message.target().data(), message.target().size());
    for (const auto& field : message)
    {
        request.headers.emplace_back(
            std::string(field.name_string().data(), field.name_string().size()),
            std::string(field.value().data(), field.value().size()));
    }
    request.host = std::string(header_value(request.headers, "Host"));
    request.body = message.body();
    return request;
}

} // namespace hemlockdeal
