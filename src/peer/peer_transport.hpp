// Message transport between daemons. Runs in its own thread.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.hpp"
#include "core/peer_message.hpp"

namespace hemlockdeal
{

// Address and public key of another daemon.
struct peer_address
{
    vm_id id;
    std::string address;    // ip:port
    std::string public_key; // Z85
};

struct peer_transport_settings
{
    std::string listen; // ip:port; port 0 selects a free port
    std::string public_key;
    std::string secret_key;
    std::vector<peer_address> known;
    std::chrono::milliseconds heartbeat_interval{1000};
    // A connection without traffic for this long is considered broken.
    std::chrono::milliseconds heartbeat_timeout{3000};
    // Capacity, in messages, of the send ring shared by all peers and of the
    // socket queue of each peer. The queue holds several minutes of heartbeats;
    // older ones are of no use.
    std::size_t send_ring = 1024;
    int send_queue = 256;
};

// Called in the transport's thread; must not block.
struct peer_handlers
{
    // The sender of the message has been verified against the key of its
    // connection.
    std::function<void(peer_message)> received;
    // The outgoing connection to the peer was established or lost.
    std::function<void(const vm_id&, bool connected)> connection;
    // A client or a message was refused, or an error occurred in the transport.
    // A client that keeps trying is refused each time, so the handler must
    // limit the rate of its log lines.
    std::function<void(const std::string& reason)> refused;
};

// Byte counts include the ZeroMQ framing and encryption, but not TCP/IP.
struct peer_traffic
{
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    // Messages not sent because the peer was not connected or its queue full.
    std::uint64_t dropped = 0;
};

// Delivery is not guaranteed: messages may be lost without notice, for example
// when a connection breaks. Messages to one peer arrive in order.
class peer_transport
{
public:
    // Throws std::runtime_error if it cannot listen or a key is malformed.
    peer_transport(peer_transport_settings settings, peer_handlers handlers);
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    // Stops the thread and drops messages not sent yet.
    ~peer_transport();

    // Both return false if the send ring is full. They must not be called
    // concurrently.
    bool send(const vm_id& to, peer_message message);
    bool send_to_all(peer_message message);

    // Adds a peer, or replaces the address and key of the peer with this id.
    // These two are thread-safe.
    void add_peer(peer_address peer);
    void remove_peer(const vm_id& id);

    // Bound address "ip:port" with the actual port.
    const std::string& address() const;

    // Traffic by peer, including removed peers.
    std::map<vm_id, peer_traffic> bytes() const;
    // Number of calls of peer_handlers::refused: refused clients and messages,
    // and errors in the transport.
    std::uint64_t refused() const;
    // Number of calls of send() or send_to_all() that found the send ring full.
    std::uint64_t rejected() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hemlockdeal
