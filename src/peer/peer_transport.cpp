// Message transport between daemons. Runs in its own thread.
//
// Each daemon receives on a single ROUTER socket and sends on one DEALER socket
// per peer, so a slow peer never delays messages to another one.
#include "peer/peer_transport.hpp"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <iterator>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <utility>
#include <variant>

#include <sys/eventfd.h>
#include <unistd.h>

#include <zmq.hpp>
#include <zmq_addon.hpp>

#include "core/bounded_ring.hpp"
#include "peer/key_check.hpp"
#include "peer/peer_codec.hpp"
#include "peer/peer_connection.hpp"

namespace hemlockdeal
{

namespace
{

// Overhead per message: frame header (up to 9 bytes), name and nonce of the
// CURVE MESSAGE command, authenticator and flags.
constexpr std::size_t message_overhead = 42;

// Messages received in a row before the other sockets are served.
constexpr int max_receive_batch = 256;

constexpr int monitored_server_events =
    ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL | ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL;

struct outgoing_message
{
    std::optional<vm_id> to; // empty: broadcast to all peers
    peer_message message;
};

using peer_change = std::variant<peer_address, vm_id>; // add or remove

// Wakes up the transport's thread from other threads.
class wakeup_event
{
public:
    wakeup_event() : descriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
        if (descriptor_ < 0)
        {
            throw std::runtime_error("cannot create an event descriptor");
        }
    }
    wakeup_event(const wakeup_event&) = delete;
    wakeup_event& operator=(const wakeup_event&) = delete;
    ~wakeup_event() { close(descriptor_); }

    int descriptor() const { return descriptor_; }
    void signal() { eventfd_write(descriptor_, 1); }
    void clear()
    {
        eventfd_t value = 0;
        eventfd_read(descriptor_, &value);
    }

private:
    int descriptor_;
};

} // namespace

class peer_transport::implementation
{
public:
    implementation(peer_transport_settings settings, peer_handlers handlers);
    ~implementation();

    bool push(outgoing_message item);
    void change(peer_change c);

    const std::string& address() const { return address_; }
    std::map<vm_id, peer_traffic> bytes() const;
    std::uint64_t refused() const { return refused_; }
    std::uint64_t rejected() const { return ring_.rejected(); }

private:
    void listen();
    void run();
    void poll_sockets();
    void apply_changes();
    void apply(const peer_change& c);
    void add(const peer_address& peer);
    void remove(const vm_id& id);
    void send_queued();
    void send(const outgoing_message& item);
    void send(peer_connection& connection, const std::string& bytes);
    void receive();
    void receive_one(std::vector<zmq::message_t>& frames);
    void report_failed_handshakes();
    void report_connections();
    // Time until the next reconnection after a failed handshake; negative if
    // none is scheduled.
    std::chrono::milliseconds time_until_reconnect() const;
    void reconnect_due_peers();
    void report_refusal(const std::string& reason);

    const peer_transport_settings settings_;
    const peer_handlers handlers_;
    bounded_ring<outgoing_message> ring_;
    wakeup_event wakeup_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::uint64_t> refused_ = 0;
    std::string address_;

    mutable std::mutex mutex_; // guards changes_ and bytes_
    std::vector<peer_change> changes_;
    std::map<vm_id, peer_traffic> bytes_;

    // The members below are used only by the thread once it runs. The order
    // matters: sockets must be closed before their context is destroyed.
    zmq::context_t context_;
    key_check keys_;
    zmq::socket_t server_;
    zmq::socket_t server_monitor_;
    std::map<vm_id, std::unique_ptr<peer_connection>> connections_;
    std::thread thread_;
};

peer_transport::implementation::implementation(peer_transport_settings settings,
                                               peer_handlers handlers)
    : settings_(std::move(settings)), handlers_(std::move(handlers)),
      ring_(settings_.send_ring),
      keys_(context_,
            [this](const std::string& reason) { report_refusal(reason); }),
      server_(context_, zmq::socket_type::router),
      server_monitor_(make_monitor(context_, server_, "inproc://server-monitor",
                                   monitored_server_events))
{
    try
    {
        listen();
        std::ranges::for_each(settings_.known,
                              [&](const peer_address& peer) { add(peer); });
    }
    catch (const zmq::error_t& failure)
    {
        throw std::runtime_error("peers: cannot listen on " + settings_.listen +
                                 ": " + failure.what());
    }
    thread_ = std::thread([this] { run(); });
}

peer_transport::implementation::~implementation()
{
    stopping_ = true;
    wakeup_.signal();
    thread_.join();
}

void peer_transport::implementation::listen()
{
    apply_settings(server_, settings_);
    server_.set(zmq::sockopt::curve_server, true);
    server_.set(zmq::sockopt::zap_domain, "hemlockdeal");
    server_.bind("tcp://" + settings_.listen);
    address_ = server_.get(zmq::sockopt::last_endpoint);
    address_.erase(0, std::string("tcp://").size());
}

bool peer_transport::implementation::push(outgoing_message item)
{
    if (!ring_.push(std::move(item)))
    {
        return false;
    }
    wakeup_.signal();
    return true;
}

void peer_transport::implementation::change(peer_change c)
{
    {
        const std::lock_guard lock(mutex_);
        changes_.push_back(std::move(c));
    }
    wakeup_.signal();
}

std::map<vm_id, peer_traffic> peer_transport::implementation::bytes() const
{
    const std::lock_guard lock(mutex_);
    return bytes_;
}

void peer_transport::implementation::run()
{
    while (!stopping_)
    {
        try
        {
            poll_sockets();
        }
        catch (const zmq::error_t& failure)
        {
            // EINTR: a signal interrupted the poll. No other error may end the
            // thread either, since that would disconnect all peers.
            if (failure.num() != EINTR)
            {
                report_refusal(failure.what());
            }
        }
    }
}

void peer_transport::implementation::poll_sockets()
{
    std::vector<zmq::pollitem_t> items{
        {nullptr, wakeup_.descriptor(), ZMQ_POLLIN, 0},
        {keys_.socket().handle(), 0, ZMQ_POLLIN, 0},
        {server_.handle(), 0, ZMQ_POLLIN, 0},
        {server_monitor_.handle(), 0, ZMQ_POLLIN, 0}};
    std::ranges::transform(
        connections_, std::back_inserter(items), [](const auto& entry) {
            return zmq::pollitem_t{entry.second->monitor().handle(), 0,
                                   ZMQ_POLLIN, 0};
        });
    zmq::poll(items, time_until_reconnect());
    if (items[0].revents != 0)
    {
        wakeup_.clear();
        apply_changes();
        send_queued();
    }
    keys_.handle_requests();
    receive();
    report_failed_handshakes();
    report_connections();
    reconnect_due_peers();
}

std::chrono::milliseconds
peer_transport::implementation::time_until_reconnect() const
{
    using std::chrono::milliseconds;
    auto wait = milliseconds(-1);
    for (const auto& [id, connection] : connections_)
    {
        if (const auto at = connection->reconnect_at())
        {
            const auto remaining = std::chrono::ceil<milliseconds>(
                *at - peer_connection::clock::now());
            const auto until = std::max(remaining, milliseconds(0));
            wait = wait < milliseconds(0) ? until : std::min(wait, until);
        }
    }
    return wait;
}

void peer_transport::implementation::reconnect_due_peers()
{
    const auto now = peer_connection::clock::now();
    for (auto& [id, connection] : connections_)
    {
        if (connection->reconnect_at().value_or(now + std::chrono::hours(1)) <=
            now)
        {
            connection->reconnect();
        }
    }
}

void peer_transport::implementation::apply_changes()
{
    std::vector<peer_change> changes;
    {
        const std::lock_guard lock(mutex_);
        changes.swap(changes_);
    }
    std::ranges::for_each(changes, [&](const peer_change& c) { apply(c); });
}

// An invalid address or key must not affect the other peers.
void peer_transport::implementation::apply(const peer_change& c)
{
    const auto* peer = std::get_if<peer_address>(&c);
    if (peer == nullptr)
    {
        remove(std::get<vm_id>(c));
        return;
    }
    try
    {
        add(*peer);
    }
    catch (const zmq::error_t& failure)
    {
        report_refusal("cannot connect to " + peer->id.value() + " at " +
                       peer->address + ": " + failure.what());
    }
}

void peer_transport::implementation::add(const peer_address& peer)
{
    remove(peer.id);
    auto connection =
        std::make_unique<peer_connection>(context_, settings_, peer);
    keys_.add_key(peer.public_key, peer.id);
    connections_[peer.id] = std::move(connection);
}

void peer_transport::implementation::remove(const vm_id& id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end())
    {
        return;
    }
    keys_.remove_key(found->second->peer().public_key);
    const auto connected = found->second->connected();
    connections_.erase(found);
    if (connected && handlers_.connection)
    {
        handlers_.connection(id, false);
    }
}

void peer_transport::implementation::send_queued()
{
    ring_.consume_all([&](const outgoing_message& item) { send(item); });
}

void peer_transport::implementation::send(const outgoing_message& item)
{
    const auto encoded = encode(item.message);
    if (!is_ok(encoded))
    {
        report_refusal(error_of(encoded).message);
        return;
    }
    const auto& bytes = value_of(encoded);
    if (!item.to)
    {
        std::ranges::for_each(connections_,
                              [&](auto& entry) { send(*entry.second, bytes); });
        return;
    }
    const auto found = connections_.find(*item.to);
    if (found != connections_.end())
    {
        send(*found->second, bytes);
        return;
    }
    const std::lock_guard lock(mutex_);
    ++bytes_[*item.to].dropped;
}

void peer_transport::implementation::send(peer_connection& connection,
                                          const std::string& bytes)
{
    const auto sent = connection.send(bytes);
    const std::lock_guard lock(mutex_);
    auto& traffic = bytes_[connection.peer().id];
    if (sent)
    {
        traffic.bytes_sent += bytes.size() + message_overhead;
    }
    else
    {
        ++traffic.dropped;
    }
}

void peer_transport::implementation::receive()
{
    std::vector<zmq::message_t> frames;
    for (int i = 0; i < max_receive_batch; ++i)
    {
        frames.clear();
        if (!zmq::recv_multipart(server_, std::back_inserter(frames),
                                 zmq::recv_flags::dontwait))
        {
            return;
        }
        receive_one(frames);
    }
}

// The frames are the routing id of the connection and the message.
void peer_transport::implementation::receive_one(
    std::vector<zmq::message_t>& frames)
{
    if (frames.size() != 2)
    {
        report_refusal("a message has " + std::to_string(frames.size()) +
                       " frames");
        return;
    }
    const auto owner = keys_.owner_of(frames[1]);
    if (!owner)
    {
        report_refusal("a message came with a key that was withdrawn");
        return;
    }
    auto decoded = decode(frames[1].to_string_view());
    {
        const std::lock_guard lock(mutex_);
        bytes_[*owner].bytes_received += frames[1].size() + message_overhead;
    }
    if (!is_ok(decoded))
    {
        report_refusal("from " + owner->value() + ": " +
                       error_of(decoded).message);
        return;
    }
    auto message = value_of(std::move(decoded));
    if (message.sender != *owner)
    {
        report_refusal("a message with the key of " + owner->value() +
                       " names the sender " + message.sender.value());
        return;
    }
    if (handlers_.received)
    {
        handlers_.received(std::move(message));
    }
}

void peer_transport::implementation::report_failed_handshakes()
{
    while (receive_event(server_monitor_))
    {
        report_refusal("a client did not follow the protocol");
    }
}

void peer_transport::implementation::report_connections()
{
    std::ranges::for_each(connections_, [&](auto& entry) {
        const auto change = entry.second->poll_state_change();
        if (change && handlers_.connection)
        {
            handlers_.connection(entry.first, *change);
        }
    });
}

void peer_transport::implementation::report_refusal(const std::string& reason)
{
    ++refused_;
    if (handlers_.refused)
    {
        handlers_.refused(reason);
    }
}

peer_transport::peer_transport(peer_transport_settings settings,
                               peer_handlers handlers)
    : implementation_(std::make_unique<implementation>(std::move(settings),
                                                       std::move(handlers)))
{}

peer_transport::~peer_transport() = default;

bool peer_transport::send(const vm_id& to, peer_message message)
{
    return implementation_->push({to, std::move(message)});
}

bool peer_transport::send_to_all(peer_message message)
{
    return implementation_->push({std::nullopt, std::move(message)});
}

void peer_transport::add_peer(peer_address peer)
{
    implementation_->change(std::move(peer));
}

void peer_transport::remove_peer(const vm_id& id)
{
    implementation_->change(id);
}

const std::string& peer_transport::address() const
{
    return implementation_->address();
}

std::map<vm_id, peer_traffic> peer_transport::bytes() const
{
    return implementation_->bytes();
}

std::uint64_t peer_transport::refused() const
{
    return implementation_->refused();
}

std::uint64_t peer_transport::rejected() const
{
    return implementation_->rejected();
}

} // namespace hemlockdeal
