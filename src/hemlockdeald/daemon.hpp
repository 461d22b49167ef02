// The daemon of one entry VM: its threads and the message rings between them.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <QTimer>

#include "batch_thread.hpp"
#include "operators/operators.hpp"
#include "peer_link.hpp"
#include "platform_thread.hpp"
#include "proxy_thread.hpp"
#include "recorder.hpp"
#include "tail_tracker.hpp"

namespace hemlockdeal
{

class daemon
{
public:
    daemon(const daemon_settings& settings, incarnation process);
    ~daemon();

    // Starts all threads. The error names the address that cannot be used.
    result<std::monostate> start();

    // Planned stop: fails health checks at once, finishes the requests in
    // flight, releases the shards and then calls `stopped` in the main thread.
    void stop(std::function<void()> stopped);

private:
    void on_peer(peer_message&& message);
    void send_to_peers(send_to_peer&& message);
    void request_finished(const finish_request& finished);
    void publish_tails();
    void update_gauges();
    void log_refused_callers(const proxy_counts& counts);
    operator_callbacks make_callbacks();

    daemon_settings settings_;
    incarnation process_;
    recorder recorder_;
    platform_thread platform_;
    std::unique_ptr<batch_thread> batch_;
    std::unique_ptr<proxy_thread> proxy_;
    std::unique_ptr<peer_link> peers_;
    std::unique_ptr<operator_server> operators_;
    // Used by the proxy thread only.
    tail_tracker tails_;
    time_point tails_published_{};
    QTimer gauge_timer_;
    // Values of the last update.
    proxy_counts last_counts_;
};

} // namespace hemlockdeal
