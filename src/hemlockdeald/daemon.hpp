// The daemon of one entry VM: its threads and the rings between them.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <QTimer>

#include "batch_duty.hpp"
#include "operators/operators.hpp"
#include "peer_duty.hpp"
#include "platform_duty.hpp"
#include "proxy_duty.hpp"
#include "recorder.hpp"
#include "tail_tracker.hpp"

namespace hemlockdeal
{

class daemon
{
public:
    daemon(const daemon_settings& settings, incarnation process);
    ~daemon();

    // Starts all threads; an error names the address that cannot be used.
    result<std::monostate> start();

    // The planned stop: the health path fails at once, requests in flight
    // finish, shards are released, then `stopped` is called in the main
    // thread.
    void stop(std::function<void()> stopped);

private:
    void on_peer(peer_message&& message);
    void send_to_peers(send_to_peer&& message);
    void request_finished(const finish_request& finished);
    void publish_tails();
    void update_gauges();
    operator_callbacks make_callbacks();

    daemon_settings settings_;
    incarnation process_;
    recorder recorder_;
    platform_duty platform_;
    std::unique_ptr<batch_duty> batch_;
    std::unique_ptr<proxy_duty> proxy_;
    std::unique_ptr<peer_duty> peers_;
    std::unique_ptr<operator_server> operators_;
    // Used by the proxy's thread only.
    tail_tracker tails_;
    time_point tails_published_{};
    QTimer gauge_timer_;
};

} // namespace hemlockdeal
