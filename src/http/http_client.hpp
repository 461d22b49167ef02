// HTTP client for one address with persistent connections. A call is given up
// when its response does not begin in time or makes no progress. A failed call
// reports whether the server may have executed it.
#pragma once

#include <cstddef>
#include <cstdint>
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

// Reason why a call has no response.
struct call_failure
{
    std::string reason;
    // False when no byte of the request can have reached the server.
    bool maybe_executed = true;
};

enum class call_id : std::uint64_t
{
};

using call_result = std::variant<http_response, call_failure>;
using call_handler = std::function<void(call_result)>;

// How a call went, for logs and metrics.
struct call_record
{
    std::string target;
    duration took{};
    // Until the first byte of the response; empty if none arrived.
    std::optional<duration> begun_after;
    // Bytes of the response that arrived, including its headers.
    std::size_t received = 0;
    // Empty if the response is complete.
    std::string failure;
};

// Called before the handler of the call.
using call_observer = std::function<void(const call_record&)>;

struct http_client_options
{
    std::size_t connections = 1;
    // Maximum number of calls in flight on one connection. Above 1 requests are
    // pipelined, and a lost response also fails the calls after it.
    std::size_t max_pipelined = 1;
    progress_limits progress = {};
};

// Calls are queued in order when all connections are busy. Handlers are called
// from the event loop, never from within send().
class http_client
{
public:
    http_client(socket_address address, http_client_options options,
                call_observer observer = {});
    ~http_client();

    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // The response must begin within the timeout. Once it has begun, it may
    // take as long as it makes progress.
    call_id send(http_request request, duration timeout, call_handler handler);

    // Ends a call without calling its handler and closes its connection.
    void cancel(call_id id, const std::string& reason);
    // True if a part of the call's response has arrived.
    bool has_response_begun(call_id id) const;

    // Fails calls whose deadline has passed and closes their connections, since
    // a connection that lost a response may never respond again. Bytes that
    // have arrived and are not read yet count as progress: the process itself
    // may have been paused.
    void expire(time_point now);

    // Closes all connections; calls in flight and queued calls fail.
    void reset(const std::string& reason);

    // Number of calls in flight or queued.
    std::size_t load() const;
    std::size_t connections_opened() const { return opened_; }
    std::size_t connections() const { return connections_.size(); }

private:
    friend class http_client_connection;

    struct call
    {
        call_id id{};
        std::string target;
        std::string bytes;
        response_deadline deadline;
        call_handler handler;
    };

    void dispatch();
    http_client_connection* available_connection();
    void retire(http_client_connection& connection, const std::string& reason);
    // Tells the observer how the call went; no reason means success.
    void record(const call& ended, const std::string& failure) const;
    void fail(call failed, const std::string& reason, bool maybe_executed);

    socket_address address_;
    http_client_options options_;
    call_observer observer_;
    std::deque<call> queue_;
    std::vector<std::unique_ptr<http_client_connection>> connections_;
    std::size_t opened_ = 0;
    std::uint64_t last_id_ = 0;
};

} // namespace hemlockdeal
