// Implements header filtering and the bodies of responses that the daemon
// generates itself.
#include "proxy/http_codec.hpp"

#include <array>
#include <vector>

#include <boost/json.hpp>
#include <boost/range/algorithm/for_each.hpp>

namespace hemlockdeal
{

void erase_connection_headers(http::fields& fields)
{
    std::vector<std::string> named;
    const auto connection = fields.equal_range(http::field::connection);
    for (auto f = connection.first; f != connection.second; ++f)
    {
        for (const auto token : http::token_list(f->value()))
        {
            named.emplace_back(token.data(), token.size());
        }
    }
    // Content-Length is part of the message framing; a caller must not be able
    // to remove it.
    boost::for_each(named, [&](const std::string& name) {
        if (!boost::beast::iequals(name, "content-length"))
        {
            fields.erase(name);
        }
    });
    constexpr std::array connection_headers = {
        http::field::connection,       http::field::keep_alive,
        http::field::proxy_connection, http::field::te,
        http::field::trailer,          http::field::transfer_encoding,
        http::field::upgrade};
    boost::for_each(connection_headers,
                    [&](http::field name) { fields.erase(name); });
}

std::string_view to_view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::string path_of(std::string_view target)
{
    return std::string(target.substr(0, target.find('?')));
}

std::string outcome_body(std::string_view outcome, std::string_view reason)
{
    const boost::json::object body = {{"outcome", boost::json::string(outcome)},
                                      {"reason", boost::json::string(reason)}};
    return boost::json::serialize(body);
}

} // namespace hemlockdeal
