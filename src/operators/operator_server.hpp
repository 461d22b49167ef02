// HTTP server for operators and submitters, in a thread of its own.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "core/operator_message.hpp"
#include "core/result.hpp"
#include "observe/timeline.hpp"
#include "settings/daemon_settings.hpp"

namespace hemlockdeal
{

struct operator_server_options
{
    socket_address listen; // port 0 selects a free one
    bearer_token token;
    // A request with no reply by then is answered "unknown".
    std::chrono::milliseconds time_limit = std::chrono::seconds(10);
    std::int64_t max_body_bytes = 1'000'000;
    int max_connections = 256;
    // A connection on which no request completes for this long is closed.
    std::chrono::milliseconds idle_limit = std::chrono::seconds(60);
};

// May be called from any thread, once; later calls have no effect.
using operator_reply_function = std::function<void(operator_reply)>;

// Called in the server's thread; none of them may block.
struct operator_callbacks
{
    std::function<void(operator_request, operator_reply_function)> handle;
    // The time line as JSON, see to_json_text().
    std::function<std::string(const timeline_filter&)> timeline;
    // Prometheus text.
    std::function<std::string()> metrics;
};

// Serves from start() to stop() or destruction. The process needs a
// QCoreApplication.
class operator_server
{
public:
    operator_server(operator_server_options options,
                    operator_callbacks callbacks);
    ~operator_server();

    operator_server(const operator_server&) = delete;
    operator_server& operator=(const operator_server&) = delete;

    // Listens; returns the address with the port that is in use.
    result<socket_address> start();

    // Closes all connections. Requests without a reply get none.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hemlockdeal
