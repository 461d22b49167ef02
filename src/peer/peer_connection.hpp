// Outgoing connection to one peer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <zmq.hpp>

#include "peer/peer_transport.hpp"

namespace hemlockdeal
{

// Not thread-safe.
class peer_connection
{
public:
    // Connects asynchronously. Throws zmq::error_t if the address or key is
    // malformed.
    peer_connection(zmq::context_t& context,
                    const peer_transport_settings& settings, peer_address peer);
    peer_connection(const peer_connection&) = delete;
    peer_connection& operator=(const peer_connection&) = delete;
    ~peer_connection();

    const peer_address& peer() const { return peer_; }

    // State as of the last call of poll_state_change().
    bool connected() const { return connected_; }

    // Returns false if the peer is not connected or the send queue is full.
    bool send(const std::string& bytes);

    // Readable when the connection state may have changed.
    zmq::socket_t& monitor() { return monitor_; }

    // Processes pending monitor events. Returns the new state if it changed.
    std::optional<bool> poll_state_change();

    using clock = std::chrono::steady_clock;
    // When to reconnect after a failed handshake. ZeroMQ itself reconnects only
    // after a lost connection, but a handshake also fails if this VM starts
    // before the peer has been given its key.
    std::optional<clock::time_point> reconnect_at() const
    {
        return reconnect_at_;
    }
    void reconnect();

private:
    std::string endpoint() const { return "tcp://" + peer_.address; }
    bool try_send(const std::string& bytes);
    // Lets ZeroMQ process what its I/O thread has told the socket.
    void process_socket_events();

    peer_address peer_;
    zmq::socket_t socket_;
    zmq::socket_t monitor_;
    bool connected_ = false;
    std::optional<clock::time_point> reconnect_at_;
    std::chrono::milliseconds reconnect_delay_;
};

// Sets the heartbeats, limits and own keys that incoming and outgoing sockets
// have in common.
void apply_settings(zmq::socket_t& socket,
                    const peer_transport_settings& settings);

// Receives an event from a socket monitor; empty if none is pending.
std::optional<std::uint16_t> receive_event(zmq::socket_t& monitor);

// Creates a socket that receives the given events of `monitored`. `name` must
// be unique in the context.
zmq::socket_t make_monitor(zmq::context_t& context, zmq::socket_t& monitored,
                           const std::string& name, int events);

} // namespace hemlockdeal
