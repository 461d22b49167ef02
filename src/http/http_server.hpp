// HTTP server for short requests on non-blocking sockets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <QSocketNotifier>

#include "core/core.hpp"
#include "http/connection_budget.hpp"
#include "http/http_message.hpp"
#include "http/refusal.hpp"
#include "http/socket_address.hpp"

namespace hemlockdeal
{

class http_server_connection;

struct http_server_limits
{
    // Also the maximum of a chunk header with its extension, and of the
    // trailers.
    std::uint32_t header_bytes = 16U * 1024;
    std::uint64_t body_bytes = 256ULL * 1024;
    // Maximum time from the first to the last byte of a request.
    duration request_time = std::chrono::seconds(3);
    duration idle_time = std::chrono::seconds(15);
    // A refused client's connection is read for this long, and up to this
    // amount, before it is closed: closing it with unread bytes resets it, and
    // the client may lose the response.
    duration linger_time = std::chrono::seconds(1);
    std::size_t linger_bytes = 1024ULL * 1024;
};

// Sends the response to one request, at any time but only once. Responses to a
// closed connection are discarded.
class http_responder
{
public:
    explicit http_responder(std::weak_ptr<http_server_connection> connection);

    void operator()(const http_response& response) const;

private:
    std::weak_ptr<http_server_connection> connection_;
};

using http_service = std::function<void(http_request, http_responder)>;

class http_server
{
public:
    // Throws std::runtime_error if it cannot listen on the address.
    // Servers of one process share a budget.
    http_server(const socket_address& address, http_server_limits limits,
                http_service service,
                std::shared_ptr<connection_budget> budget =
                    std::make_shared<connection_budget>());
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    void set_limits(const http_server_limits& limits) { limits_ = limits; }
    const http_server_limits& limits() const { return limits_; }

    // Closes connections that exceed the idle time or the request time.
    void expire(time_point now);

    // Starts draining: each connection closes after its next response;
    // connections without a request close after the idle time.
    void drain();
    bool is_draining() const { return draining_; }
    // Number of requests without a response.
    std::size_t unanswered() const;
    std::size_t connections() const { return connections_.size(); }
    const refusal_counts& refusals() const { return refusals_; }

private:
    friend class http_server_connection;

    void accept_pending();
    // Stops accepting for a short time and frees descriptors: the listening
    // socket stays readable, which would keep the event loop busy.
    void pause_accepting();
    void remove(int descriptor);

    http_server_limits limits_;
    http_service service_;
    std::shared_ptr<connection_budget> budget_;
    int listener_ = -1;
    bool draining_ = false;
    refusal_counts refusals_;
    std::unique_ptr<QSocketNotifier> accept_notifier_;
    std::unordered_map<int, std::shared_ptr<http_server_connection>>
        connections_;
};

} // namespace hemlockdeal
