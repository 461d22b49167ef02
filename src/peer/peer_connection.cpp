// Outgoing connection to one peer.
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

constexpr int handshake_failed_events = ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |
                                        ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL |
                                        ZMQ_EVENT_HANDSHAKE_FAILED_AUTH;
constexpr int monitored_events = ZMQ_EVENT_HANDSHAKE_SUCCEEDED |
                                 ZMQ_EVENT_DISCONNECTED |
                                 handshake_failed_events;

// Exponential backoff: a restarted peer is reconnected quickly, a peer that is
// down for long costs one attempt every 2 s.
constexpr std::chrono::milliseconds min_reconnect_delay{100};
constexpr std::chrono::milliseconds max_reconnect_delay{2000};

int to_int_ms(std::chrono::milliseconds time)
{
    return static_cast<int>(time.count());
}

std::string unique_monitor_name()
{
    static std::atomic<std::uint64_t> last{0};
    return "inproc://monitor-" + std::to_string(++last);
}

} // namespace

void apply_settings(zmq::socket_t& socket,
                    const peer_transport_settings& settings)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, settings.send_queue);
    socket.set(zmq::sockopt::maxmsgsize,
               static_cast<std::int64_t>(max_peer_message_bytes));
    socket.set(zmq::sockopt::heartbeat_ivl,
               to_int_ms(settings.heartbeat_interval));
    socket.set(zmq::sockopt::heartbeat_timeout,
               to_int_ms(settings.heartbeat_timeout));
    socket.set(zmq::sockopt::heartbeat_ttl,
               to_int_ms(settings.heartbeat_timeout));
    socket.set(zmq::sockopt::handshake_ivl,
               to_int_ms(settings.heartbeat_timeout));
    socket.set(zmq::sockopt::curve_publickey, settings.public_key);
    socket.set(zmq::sockopt::curve_secretkey, settings.secret_key);
}

zmq::socket_t make_monitor(zmq::context_t& context, zmq::socket_t& monitored,
                           const std::string& name, int events)
{
    if (zmq_socket_monitor(monitored.handle(), name.c_str(), events) != 0)
    {
        throw zmq::error_t();
    }
    zmq::socket_t monitor(context, zmq::socket_type::pair);
    monitor.set(zmq::sockopt::linger, 0);
    monitor.connect(name);
    return monitor;
}

std::optional<std::uint16_t> receive_event(zmq::socket_t& monitor)
{
    // The first frame starts with the event number; the second frame holds
    // the address.
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
                                 const peer_transport_settings& settings,
                                 peer_address peer)
    : peer_(std::move(peer)), socket_(context, zmq::socket_type::dealer),
      monitor_(make_monitor(context, socket_, unique_monitor_name(),
                            monitored_events)),
      reconnect_delay_(min_reconnect_delay)
{
    apply_settings(socket_, settings);
    socket_.set(zmq::sockopt::curve_serverkey, peer_.public_key);
    // Queue messages only on established connections: messages queued for a
    // disconnected peer would be stale on arrival.
    socket_.set(zmq::sockopt::immediate, true);
    socket_.set(zmq::sockopt::reconnect_ivl, to_int_ms(min_reconnect_delay));
    socket_.set(zmq::sockopt::reconnect_ivl_max,
                to_int_ms(max_reconnect_delay));
    socket_.connect(endpoint());
}

peer_connection::~peer_connection()
{
    // An event without a receiver would block the I/O thread of the context,
    // and with it all sockets.
    zmq_socket_monitor(socket_.handle(), nullptr, 0);
}

bool peer_connection::send(const std::string& bytes)
{
    if (try_send(bytes))
    {
        return true;
    }
    // A send may miss news of the last milliseconds: that the connection is
    // established, or that messages have left the queue.
    process_socket_events();
    return try_send(bytes);
}

bool peer_connection::try_send(const std::string& bytes)
{
    return socket_.send(zmq::buffer(bytes), zmq::send_flags::dontwait)
        .has_value();
}

void peer_connection::process_socket_events()
{
    (void)socket_.get(zmq::sockopt::events);
}

std::optional<bool> peer_connection::poll_state_change()
{
    const auto before = connected_;
    while (const auto event = receive_event(monitor_))
    {
        connected_ = *event == ZMQ_EVENT_HANDSHAKE_SUCCEEDED;
        if (connected_)
        {
            reconnect_at_.reset();
            reconnect_delay_ = min_reconnect_delay;
        }
        if ((*event & handshake_failed_events) != 0)
        {
            reconnect_at_ = clock::now() + reconnect_delay_;
            reconnect_delay_ =
                std::min(2 * reconnect_delay_, max_reconnect_delay);
        }
    }
    return connected_ == before ? std::nullopt : std::optional(connected_);
}

void peer_connection::reconnect()
{
    reconnect_at_.reset();
    try
    {
        socket_.disconnect(endpoint());
    }
    catch (const zmq::error_t& failure)
    {
        // ENOENT: the failed handshake has closed the connection already.
        if (failure.num() != ENOENT)
        {
            throw;
        }
    }
    socket_.connect(endpoint());
}

} // namespace hemlockdeal
