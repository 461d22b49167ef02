// One connection of the HTTP client.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/http.hpp>

#include "http/http_client.hpp"
#include "http/nonblocking_socket.hpp"

namespace hemlockdeal
{

class http_client_connection
{
public:
    http_client_connection(http_client& owner,
                           std::unique_ptr<nonblocking_socket> socket);

    void send(http_client::call outgoing);
    std::size_t in_flight() const { return calls_.size(); }
    // True if the first call in flight is overdue and nothing has arrived that
    // is still to be read.
    bool has_expired(time_point now) const;
    // True if a part of the first response has arrived.
    bool has_response_begun() const
    {
        return !calls_.empty() && calls_.front().deadline.begun_at();
    }

    // The call whose response comes next; there must be one.
    call_id responding() const { return calls_.front().id; }
    // Returns false if the call is not in flight here.
    bool drop_handler(call_id id);

    // Releases the calls without a response, so that the client can fail them.
    std::deque<http_client::call> release_calls() { return std::move(calls_); }
    // False when no byte of a request has been sent.
    bool has_sent() const { return socket_->has_sent(); }

private:
    using parser =
        boost::beast::http::response_parser<boost::beast::http::string_body>;

    void on_writable();
    void on_readable();
    // The bytes belong to the response of the first call in flight.
    void count_received(std::size_t bytes);
    // Parses the complete responses in `received_` and passes them to their
    // handlers. Returns the reason if the input is malformed, exceeds a limit
    // or belongs to no call.
    std::string parse_responses();
    // Parses input of the first response until it is complete or needs more.
    // Returns the number of bytes parsed.
    std::size_t parse_received(boost::beast::error_code& error);
    // Passes the parsed response to the first call in flight.
    void complete_call();

    http_client& owner_;
    std::unique_ptr<nonblocking_socket> socket_;
    std::string received_;
    std::optional<parser> parser_;
    // Calls in flight, in the order of their requests and thus of the
    // responses.
    std::deque<http_client::call> calls_;
};

} // namespace hemlockdeal
