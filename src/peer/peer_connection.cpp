// The connection on which messages are sent to one peer.
#include "peer/peer_connection.hpp"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstring>
#include <iterator>
#include <utility>
#include <vector>

#include <zmq_addon.hpp>

#include "peer/peer_codec.hpp"

namespace hemlockdeal
{

namespace
{

constexpr int failed_handshake = ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |
                                 ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL |
                                 ZMQ_EVENT_HANDSHAKE_FAILED_AUTH;
constexpr int client_events =
    ZMQ_EVENT_HANDSHAKE_SUCCEEDED | ZMQ_EVENT_DISCONNECTED | failed_handshake;

// A peer that restarts is reached again quickly, one that is gone for long
// costs one attempt in 2 s.
constexpr std::chrono::milliseconds first_reconnect{100};
constexpr std::chrono::milliseconds last_reconnect{2000};

int count(std::chrono::milliseconds time)
{
    return static_cast<int>(time.count());
}

std::string unique_monitor_name()
{
    static std::atomic<std::uint64_t> last{0};
    return "inproc://monitor-" + std::to_string(++last);
}

} // namespace

void apply_settings(zmq::socket_t& socket, const peer_transport_settings& own)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, own.send_queue);
    socket.set(zmq::sockopt::maxmsgsize,
               static_cast<std::int64_t>(max_peer_message_bytes));
    socket.set(zmq::sockopt::heartbeat_ivl, count(own.heartbeat_interval));
    socket.set(zmq::sockopt::heartbeat_timeout, count(own.heartbeat_timeout));
    socket.set(zmq::sockopt::heartbeat_ttl, count(own.heartbeat_timeout));
    socket.set(zmq::sockopt::handshake_ivl, count(own.heartbeat_timeout));
    socket.set(zmq::sockopt::curve_publickey, own.public_key);
    socket.set(zmq::sockopt::curve_secretkey, own.secret_key);
}

zmq::socket_t make_monitor(zmq::context_t& context, zmq::socket_t& of,
                           const std::string& name, int events)
{
    if (zmq_socket_monitor(of.handle(), name.c_str(), events) != 0)
    {
        throw zmq::error_t();
    }
    zmq::socket_t monitor(context, zmq::socket_type::pair);
    monitor.set(zmq::sockopt::linger, 0);
    monitor.connect(name);
    return monitor;
}

std::optional<std::uint16_t> take_event(zmq::socket_t& monitor)
{
    // The first frame starts with the number of the event, the second frame
    // is the address.
    std::vector<zmq::message_t> frames;
    if (!zmq::recv_multipart(monitor, std::back_inserter(frames),
                             zmq::recv_flags::dontwait) ||
        frames[0].size() < sizeof(std::uint16_t))
    {
        return std::nullopt;
    }
    std::uint16_t event = 0;
    std::memcpy(&event, frames[0].data(), sizeof event);
    return event;
}

peer_connection::peer_connection(zmq::context_t& context,
                                 const peer_transport_settings& own,
                                 peer_address peer)
    : peer_(std::move(peer)), socket_(context, zmq::socket_type::dealer),
      monitor_(
          make_monitor(context, socket_, unique_monitor_name(), client_events)),
      backoff_(first_reconnect)
{
    apply_settings(socket_, own);
    socket_.set(zmq::sockopt::curve_serverkey, peer_.public_key);
    // Nothing is queued for a peer that is not connected: it would be old
    // when it arrives.
    socket_.set(zmq::sockopt::immediate, true);
    socket_.set(zmq::sockopt::reconnect_ivl, count(first_reconnect));
    socket_.set(zmq::sockopt::reconnect_ivl_max, count(last_reconnect));
    socket_.connect(endpoint());
}

bool peer_connection::send(const std::string& bytes)
{
    return socket_.send(zmq::buffer(bytes), zmq::send_flags::dontwait)
        .has_value();
}

std::optional<bool> peer_connection::take_state_change()
{
    const auto before = connected_;
    while (const auto event = take_event(monitor_))
    {
        connected_ = *event == ZMQ_EVENT_HANDSHAKE_SUCCEEDED;
        if (connected_)
        {
            retry_at_.reset();
            backoff_ = first_reconnect;
        }
        if ((*event & failed_handshake) != 0)
        {
            retry_at_ = clock::now() + backoff_;
            backoff_ = std::min(2 * backoff_, last_reconnect);
        }
    }
    return connected_ == before ? std::nullopt : std::optional(connected_);
}

void peer_connection::retry()
{
    retry_at_.reset();
    try
    {
        socket_.disconnect(endpoint());
    }
    catch (const zmq::error_t& fault)
    {
        // The failed handshake may have ended the connection already.
        if (fault.num() != ENOENT)
        {
            throw;
        }
    }
    socket_.connect(endpoint());
}

} // namespace hemlockdeal
