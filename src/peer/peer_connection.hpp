// The connection on which messages are sent to one peer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <zmq.hpp>

#include "peer/peer_transport.hpp"

namespace hemlockdeal
{

// Used by one thread.
class peer_connection
{
public:
    // Starts to connect. Throws zmq::error_t on a malformed address or key.
    peer_connection(zmq::context_t& context, const peer_transport_settings& own,
                    peer_address peer);

    const peer_address& peer() const { return peer_; }

    // As of the last call of take_state_change().
    bool connected() const { return connected_; }

    // False when there is no connection or its queue is full.
    bool send(const std::string& bytes);

    // Readable when the state of the connection may have changed.
    zmq::socket_t& monitor() { return monitor_; }

    // The new state when it has changed.
    std::optional<bool> take_state_change();

    using clock = std::chrono::steady_clock;
    // When to connect again after a handshake that failed: ZeroMQ itself does
    // so only after a connection that broke, and a peer may learn this VM's
    // key later than this VM starts.
    std::optional<clock::time_point> retry_at() const { return retry_at_; }
    void retry();

private:
    std::string endpoint() const { return "tcp://" + peer_.address; }

    peer_address peer_;
    zmq::socket_t socket_;
    zmq::socket_t monitor_;
    bool connected_ = false;
    std::optional<clock::time_point> retry_at_;
    std::chrono::milliseconds backoff_;
};

// Heartbeats, limits and own keys, alike for sockets of both directions.
void apply_settings(zmq::socket_t& socket, const peer_transport_settings& own);

// An event of a socket's monitor, empty when none waits.
std::optional<std::uint16_t> take_event(zmq::socket_t& monitor);

// A socket that receives the given events of `of`; `name` must be unique in
// the context.
zmq::socket_t make_monitor(zmq::context_t& context, zmq::socket_t& of,
                           const std::string& name, int events);

} // namespace hemlockdeal
