// One connection of the HTTP client.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/http.hpp>

#include "http/http_client.hpp"
#include "http/watched_socket.hpp"

namespace hemlockdeal
{

class http_client_connection
{
public:
    http_client_connection(http_client& owner,
                           std::unique_ptr<watched_socket> socket);

    void send(http_client::call sent);
    std::size_t in_flight() const { return calls_.size(); }
    bool has_expired(time_point now) const;

    // Takes the calls that have no response, to fail them.
    std::deque<http_client::call> take_calls() { return std::move(calls_); }
    // False when no byte of a request has left this VM.
    bool has_sent() const { return socket_->has_sent(); }

private:
    using parser =
        boost::beast::http::response_parser<boost::beast::http::string_body>;

    void on_writable();
    void on_readable();
    // Hands out the complete responses in `received_`; false on bytes that
    // are no response or that nobody waits for.
    bool take_responses();

    http_client& owner_;
    std::unique_ptr<watched_socket> socket_;
    std::string received_;
    std::optional<parser> parser_;
    // In the order of their requests, which is the order of the responses.
    std::deque<http_client::call> calls_;
};

} // namespace hemlockdeal
