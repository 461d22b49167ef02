// HTTP server for short requests on plain sockets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <QSocketNotifier>

#include "core/core.hpp"
#include "http/http_message.hpp"
#include "http/socket_address.hpp"

namespace hemlockdeal
{

class http_server_connection;

struct http_server_limits
{
    std::uint32_t header_bytes = 16U * 1024;
    std::uint64_t body_bytes = 256ULL * 1024;
    // From the first byte of a request to its last.
    duration request_time = std::chrono::seconds(3);
    duration idle_time = std::chrono::seconds(15);
    std::size_t connections = 3000;
};

// Answers one request, once and at any later time. Answers to a connection
// that is gone are dropped.
class http_responder
{
public:
    explicit http_responder(std::weak_ptr<http_server_connection> connection);

    void operator()(const http_response& response) const;
    // False when the caller has closed its connection.
    bool is_awaited() const;

private:
    std::weak_ptr<http_server_connection> connection_;
};

using http_service = std::function<void(http_request, http_responder)>;

class http_server
{
public:
    // Throws std::runtime_error when the address cannot be listened on.
    http_server(const socket_address& address, http_server_limits limits,
                http_service service);
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    void set_limits(const http_server_limits& limits) { limits_ = limits; }
    const http_server_limits& limits() const { return limits_; }

    // Closes connections that are idle or too slow.
    void expire(time_point now);

    // From now on each response ends its connection, and idle ones close.
    void drain();
    bool is_draining() const { return draining_; }
    // Requests that were read and not answered.
    std::size_t unanswered() const;
    std::size_t connections() const { return connections_.size(); }

private:
    friend class http_server_connection;

    void accept_waiting();
    void remove(int descriptor);

    http_server_limits limits_;
    http_service service_;
    int listener_ = -1;
    bool draining_ = false;
    std::unique_ptr<QSocketNotifier> accepts_;
    std::unordered_map<int, std::shared_ptr<http_server_connection>>
        connections_;
};

} // namespace hemlockdeal
