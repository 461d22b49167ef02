// One connection of the HTTP server.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/beast/http.hpp>

#include "http/http_server.hpp"
#include "http/nonblocking_socket.hpp"

namespace hemlockdeal
{

// Serves one request at a time; pipelined requests wait in the receive buffer.
class http_server_connection
    : public std::enable_shared_from_this<http_server_connection>
{
public:
    http_server_connection(http_server& server, int descriptor);
    ~http_server_connection();

    http_server_connection(const http_server_connection&) = delete;
    http_server_connection& operator=(const http_server_connection&) = delete;

    void start();
    void respond(const http_response& response);
    // Responds with an error, then discards what still arrives.
    void reject(refusal why);
    bool is_serving() const { return serving_; }
    // True when the connection has been idle, or a request incomplete, for
    // longer than the limits allow.
    bool has_expired(time_point now) const;
    void close();

private:
    using parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    // True while a request has no response, or one that is not sent completely.
    bool is_busy() const { return serving_ || socket_.has_unsent(); }
    void on_readable();
    void on_writable();
    // Parses the next request and passes it to the service when it is complete.
    // Does nothing while the connection is busy.
    void parse_request();
    // Gives the connection up for the budget: rejects an incomplete request and
    // closes the connection otherwise.
    void give_up(refusal why);
    void discard_received();
    // Called when the last response of the connection has been sent.
    void finish();

    void free_received();
    void enter(connection_stage stage);
    // Bytes that the connection occupies.
    std::size_t held_bytes() const;
    void report_bytes();

    http_server& server_;
    std::shared_ptr<connection_budget> budget_;
    connection_id budget_id_{};
    int descriptor_;
    nonblocking_socket socket_;
    std::string received_;
    std::optional<parser> parser_;
    bool serving_ = false;
    bool close_after_response_ = false;
    bool closed_ = false;
    bool refused_ = false;
    std::size_t discarded_ = 0;
    time_point last_activity_;
};

} // namespace hemlockdeal
