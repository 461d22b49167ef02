// HTTP client for one address: kept connections, a deadline for each call,
// and an explicit account of what may have been carried out.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/core.hpp"
#include "http/http_message.hpp"
#include "http/socket_address.hpp"

namespace hemlockdeal
{

class http_client_connection;

// Why a call has no response.
struct call_failure
{
    std::string reason;
    // False when no byte of the request can have reached the other side.
    bool maybe_executed = true;
};

using call_result = std::variant<http_response, call_failure>;
using call_handler = std::function<void(call_result)>;

struct http_client_options
{
    std::size_t connections = 1;
    // Calls that may wait for a response on one connection. Above 1 they are
    // pipelined, and one lost response takes the later ones with it.
    std::size_t pipelined = 1;
};

// Calls wait in order when all connections are busy. Handlers run from the
// event loop, never from within send().
class http_client
{
public:
    http_client(socket_address address, http_client_options options);
    ~http_client();

    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    void send(http_request request, duration timeout, call_handler handler);

    // Fails calls whose deadline has passed and drops their connections: a
    // connection that lost a response may be silent for good.
    void expire(time_point now);

    // Drops all connections; calls in flight fail.
    void reset(const std::string& reason);

    // Calls sent or waiting.
    std::size_t load() const;
    std::size_t connections_opened() const { return opened_; }
    std::size_t connections() const { return connections_.size(); }

private:
    friend class http_client_connection;

    struct call
    {
        std::string bytes;
        time_point deadline;
        call_handler handler;
    };

    void dispatch();
    http_client_connection* free_connection();
    void retire(http_client_connection& connection, const std::string& reason);

    socket_address address_;
    http_client_options options_;
    std::deque<call> waiting_;
    std::vector<std::unique_ptr<http_client_connection>> connections_;
    std::size_t opened_ = 0;
};

} // namespace hemlockdeal
