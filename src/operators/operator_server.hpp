// HTTP server for operators and job submitters. Runs in its own thread.
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
    // A request without a reply by then fails with outcome_unknown.
    std::chrono::milliseconds reply_timeout = std::chrono::seconds(10);
    std::int64_t max_body_bytes = 1'000'000;
    // Size of the requests of all connections that have no reply yet.
    std::int64_t max_total_bytes = 32'000'000;
    int max_connections = 256;
    // A connection is closed if no request completes on it for this long.
    std::chrono::milliseconds idle_timeout = std::chrono::seconds(60);
};

// Thread-safe. Only the first call has an effect.
using operator_reply_function = std::function<void(operator_reply)>;

// Called in the server's thread; they must not block.
struct operator_callbacks
{
    std::function<void(operator_request, operator_reply_function)> handle;
    // Returns the time line as JSON, see to_json_text().
    std::function<std::string(const timeline_filter&)> timeline;
    // Returns the metrics in the Prometheus text format.
    std::function<std::string()> metrics;
};

// Serves requests from start() until stop() or destruction. Requires a
// QCoreApplication in the process.
class operator_server
{
public:
    operator_server(operator_server_options options,
                    operator_callbacks callbacks);
    ~operator_server();

    operator_server(const operator_server&) = delete;
    operator_server& operator=(const operator_server&) = delete;

    // Starts to listen and returns the bound address with its actual port.
    result<socket_address> start();

    // Closes all connections. Pending requests get no reply.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hemlockdeal
