// HTTP requests and responses, and their serialization with Boost.Beast.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/beast/http.hpp>

namespace hemlockdeal
{

using http_headers = std::vector<std::pair<std::string, std::string>>;

struct http_request
{
    std::string method;
    std::string target;
    std::string host;
    http_headers headers;
    std::string body;
};

struct http_response
{
    unsigned status = 0;
    http_headers headers;
    std::string body;
};

// Returns the value of the first header with this name, ignoring case, or an
// empty view if there is none.
std::string_view header_value(const http_headers& headers,
                              std::string_view name);

std::string to_bytes(const http_request& request);
std::string to_bytes(const http_response& response, bool close);

http_request
to_request(const boost::beast::http::request<boost::beast::http::string_body>&
               message);

} // namespace hemlockdeal
