// Limits the size of chunk headers and trailers, which the header limit of
// Boost.Beast's parser does not cover.
#pragma once

#include <cstddef>
#include <string_view>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

namespace hemlockdeal
{

// Calls parser.put() with at most `limit` bytes of the input and returns how
// many were parsed. The parser accepts a chunk header or the trailers only as a
// whole, so the error is header_limit if they do not fit into the limit.
template <typename Parser>
std::size_t bounded_put(Parser& parser, std::string_view input,
                        std::size_t limit, boost::beast::error_code& error)
{
    const auto piece = input.substr(0, limit);
    const auto used =
        parser.put(boost::asio::buffer(piece.data(), piece.size()), error);
    const bool needs_more = error == boost::beast::http::error::need_more;
    if (needs_more && used == 0 && piece.size() == limit)
    {
        error = boost::beast::http::error::header_limit;
    }
    return used;
}

// Calls bounded_put() until the message is complete or the parser needs more.
// For eager parsers.
template <typename Parser>
std::size_t bounded_put_all(Parser& parser, std::string_view input,
                            std::size_t limit, boost::beast::error_code& error)
{
    std::size_t total = 0;
    std::size_t used = 0;
    do
    {
        used = bounded_put(parser, input.substr(total), limit, error);
        total += used;
    } while (used > 0 && total < input.size() && !parser.is_done() &&
             (!error || error == boost::beast::http::error::need_more));
    return total;
}

} // namespace hemlockdeal
