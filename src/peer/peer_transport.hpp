// Sends messages to other daemons and receives theirs, in a thread of its own.
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

// Where another daemon listens and the key it proves itself with.
struct peer_address
{
    vm_id id;
    std::string address;    // ip:port
    std::string public_key; // Z85
};

struct peer_transport_settings
{
    std::string listen; // ip:port, port 0 chooses a free port
    std::string public_key;
    std::string secret_key;
    std::vector<peer_address> known;
    std::chrono::milliseconds heartbeat_interval{1000};
    // A connection that is silent for this long counts as broken.
    std::chrono::milliseconds heartbeat_timeout{3000};
    // Messages that wait in the process, and for each peer in its socket.
    // Several minutes of heartbeats; what is older is of no use.
    std::size_t send_ring = 1024;
    int send_queue = 256;
};

// Called in the transport's thread; they must not block.
struct peer_handlers
{
    // The sender in the message is the owner of the key that it came with.
    std::function<void(peer_message)> received;
    // The connection for sending to the peer was made or broke.
    std::function<void(const vm_id&, bool connected)> connection;
    // A client, or a message, was refused. A client that tries again is
    // refused again, so the receiver limits the rate of its log lines.
    std::function<void(const std::string& reason)> refused;
};

// Bytes include the framing and encryption of ZeroMQ, but not TCP/IP.
struct peer_traffic
{
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    // Not sent, because there is no connection or its queue is full.
    std::uint64_t dropped = 0;
};

// A message may be lost without notice, for example while the connection
// breaks. Messages to one peer arrive in the order in which they were sent.
class peer_transport
{
public:
    // Throws std::runtime_error when it cannot listen or a key is malformed.
    peer_transport(peer_transport_settings settings, peer_handlers handlers);
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    // Ends the thread; what waits to be sent is dropped.
    ~peer_transport();

    // Both return false when too many messages wait. One thread at a time may
    // call them.
    bool send(const vm_id& to, peer_message message);
    bool send_to_all(peer_message message);

    // Adds the peer, or replaces the address and key of one with this id. Any
    // thread may call these two.
    void add_peer(peer_address peer);
    void remove_peer(const vm_id& id);

    // "ip:port" with the port that was chosen.
    const std::string& address() const;

    // By peer; peers that were removed are kept.
    std::map<vm_id, peer_traffic> bytes() const;
    // Clients and messages that were refused.
    std::uint64_t refused() const;
    // Calls of send() that found the ring full.
    std::uint64_t rejected() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hemlockdeal
