// A small HTTP/1.1 server that can also drop, delay or truncate a response.
// QHttpServer always sends a response, so it cannot emulate a faulty service.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <QTcpServer>

#include "standin/transfer_rate.hpp"

namespace hemlockdeal
{

class http_connection;

struct http_request
{
    std::string method;
    std::string target; // path and query, as received
    std::string body;
};

struct http_reply
{
    int status = 200;
    std::string body;
};

// A request that awaits its response. Without a call of answer(),
// answer_slowly(), answer_truncated() or close() the connection stays open and
// no response is sent. Calls after the connection was closed have no effect.
class http_exchange
{
public:
    explicit http_exchange(std::weak_ptr<http_connection> connection);

    void answer(const http_reply& reply) const;
    // Sends the response in pieces, at the given rate.
    void answer_slowly(const http_reply& reply,
                       const std::shared_ptr<transfer_rate>& rate) const;
    // Sends a Content-Length for the whole body, then half of the body, and
    // closes the connection.
    void answer_truncated(const http_reply& reply) const;
    // Closes the connection without a response.
    void close() const;
    // Keeps the connection open, sends nothing and discards further input.
    void ignore_input() const;
    bool opened_before(std::chrono::steady_clock::time_point time) const;

private:
    std::weak_ptr<http_connection> connection_;
};

// Listens on 127.0.0.1 and calls the handler in the thread that created it.
// Pipelined requests of a connection are handled one at a time, in order.
class http_server
{
public:
    using handler = std::function<void(const http_request&, http_exchange)>;

    // Port 0 selects a free port. Throws std::runtime_error when the port
    // cannot be opened.
    http_server(std::uint16_t port, handler request_handler);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    std::uint16_t port() const { return server_.serverPort(); }
    // "127.0.0.1:port".
    std::string address() const;

    // Totals over all connections, headers included.
    std::uint64_t bytes_received() const { return bytes_received_; }
    std::uint64_t bytes_sent() const { return bytes_sent_; }

private:
    void accept();

    QTcpServer server_;
    handler request_handler_;
    std::uint64_t bytes_received_ = 0;
    std::uint64_t bytes_sent_ = 0;
};

// The percent-decoded value of a query item, empty when it is absent.
std::string query_item(const std::string& target, const char* name);
// The part of a target before the query.
std::string path_of(const std::string& target);

} // namespace hemlockdeal
