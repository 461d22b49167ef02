// Sends messages to other daemons and receives theirs, in a thread of its own.
//
// Each daemon listens on one ROUTER socket, on which it only receives, and has
// one DEALER socket for each peer, on which it only sends. So a message never
// waits behind those for another peer.
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

// Header of the frame (up to 9 bytes), name and nonce of CURVE's MESSAGE
// command, authenticator and flags.
constexpr std::size_t message_overhead = 42;

// Messages that are received before the other sockets have their turn.
constexpr int receive_batch = 256;

constexpr int server_events =
    ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL | ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL;

struct outgoing
{
    std::optional<vm_id> to; // empty for all
    peer_message message;
};

using peer_change = std::variant<peer_address, vm_id>; // add or remove

// Wakes the transport's thread from other threads.
class wake_signal
{
public:
    wake_signal() : descriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
        if (descriptor_ < 0)
        {
            throw std::runtime_error("cannot create an event descriptor");
        }
    }
    wake_signal(const wake_signal&) = delete;
    wake_signal& operator=(const wake_signal&) = delete;
    ~wake_signal() { close(descriptor_); }

    int descriptor() const { return descriptor_; }
    void raise() { eventfd_write(descriptor_, 1); }
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

    bool push(outgoing item);
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
    void send_waiting();
    void send(const outgoing& item);
    void send(peer_connection& connection, const std::string& bytes);
    void receive();
    void receive_one(std::vector<zmq::message_t>& frames);
    void report_failed_handshakes();
    void report_connections();
    // Until the first connection whose handshake failed is tried again;
    // negative without one.
    std::chrono::milliseconds time_to_retry() const;
    void retry_connections();
    void refuse(const std::string& reason);

    const peer_transport_settings settings_;
    const peer_handlers handlers_;
    bounded_ring<outgoing> ring_;
    wake_signal wake_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::uint64_t> refused_ = 0;
    std::string address_;

    mutable std::mutex mutex_; // of the two below
    std::vector<peer_change> changes_;
    std::map<vm_id, peer_traffic> bytes_;

    // From here on used by the thread alone, once it runs. The order matters:
    // sockets are closed before their context ends.
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
      keys_(context_, [this](const std::string& reason) { refuse(reason); }),
      server_(context_, zmq::socket_type::router),
      server_monitor_(make_monitor(context_, server_, "inproc://server-monitor",
                                   server_events))
{
    try
    {
        listen();
        std::ranges::for_each(settings_.known,
                              [&](const peer_address& peer) { add(peer); });
    }
    catch (const zmq::error_t& fault)
    {
        throw std::runtime_error("peers: cannot listen on " + settings_.listen +
                                 ": " + fault.what());
    }
    thread_ = std::thread([this] { run(); });
}

peer_transport::implementation::~implementation()
{
    stopping_ = true;
    wake_.raise();
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

bool peer_transport::implementation::push(outgoing item)
{
    if (!ring_.push(std::move(item)))
    {
        return false;
    }
    wake_.raise();
    return true;
}

void peer_transport::implementation::change(peer_change c)
{
    {
        const std::lock_guard lock(mutex_);
        changes_.push_back(std::move(c));
    }
    wake_.raise();
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
        catch (const zmq::error_t& fault)
        {
            // A signal interrupts the wait; anything else must not end the
            // thread, since it would cut the daemon off from all peers.
            if (fault.num() != EINTR)
            {
                refuse(fault.what());
            }
        }
    }
}

void peer_transport::implementation::poll_sockets()
{
    std::vector<zmq::pollitem_t> items{
        {nullptr, wake_.descriptor(), ZMQ_POLLIN, 0},
        {keys_.socket().handle(), 0, ZMQ_POLLIN, 0},
        {server_.handle(), 0, ZMQ_POLLIN, 0},
        {server_monitor_.handle(), 0, ZMQ_POLLIN, 0}};
    std::ranges::transform(
        connections_, std::back_inserter(items), [](const auto& entry) {
            return zmq::pollitem_t{entry.second->monitor().handle(), 0,
                                   ZMQ_POLLIN, 0};
        });
    zmq::poll(items, time_to_retry());
    if (items[0].revents != 0)
    {
        wake_.clear();
        apply_changes();
        send_waiting();
    }
    keys_.serve();
    receive();
    report_failed_handshakes();
    report_connections();
    retry_connections();
}

std::chrono::milliseconds peer_transport::implementation::time_to_retry() const
{
    using std::chrono::milliseconds;
    auto wait = milliseconds(-1);
    for (const auto& [id, connection] : connections_)
    {
        if (const auto at = connection->retry_at())
        {
            const auto left = std::chrono::ceil<milliseconds>(
                *at - peer_connection::clock::now());
            const auto until = std::max(left, milliseconds(0));
            wait = wait < milliseconds(0) ? until : std::min(wait, until);
        }
    }
    return wait;
}

void peer_transport::implementation::retry_connections()
{
    const auto now = peer_connection::clock::now();
    for (auto& [id, connection] : connections_)
    {
        if (connection->retry_at().value_or(now + std::chrono::hours(1)) <= now)
        {
            connection->retry();
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

// An address or a key that cannot be used must not affect the other peers.
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
    catch (const zmq::error_t& fault)
    {
        refuse("cannot connect to " + peer->id.value() + " at " +
               peer->address + ": " + fault.what());
    }
}

void peer_transport::implementation::add(const peer_address& peer)
{
    remove(peer.id);
    auto connection =
        std::make_unique<peer_connection>(context_, settings_, peer);
    keys_.admit(peer.public_key, peer.id);
    connections_[peer.id] = std::move(connection);
}

void peer_transport::implementation::remove(const vm_id& id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end())
    {
        return;
    }
    keys_.withdraw(found->second->peer().public_key);
    const auto connected = found->second->connected();
    connections_.erase(found);
    if (connected && handlers_.connection)
    {
        handlers_.connection(id, false);
    }
}

void peer_transport::implementation::send_waiting()
{
    ring_.consume_all([&](const outgoing& item) { send(item); });
}

void peer_transport::implementation::send(const outgoing& item)
{
    const auto encoded = encode(item.message);
    if (!is_ok(encoded))
    {
        refuse(error_of(encoded).message);
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
    for (int i = 0; i < receive_batch; ++i)
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

// The frames are the connection's name and the message.
void peer_transport::implementation::receive_one(
    std::vector<zmq::message_t>& frames)
{
    if (frames.size() != 2)
    {
        refuse("a message has " + std::to_string(frames.size()) + " frames");
        return;
    }
    const auto owner = keys_.owner_of(frames[1]);
    if (!owner)
    {
        refuse("a message came with a key that was withdrawn");
        return;
    }
    auto decoded = decode(frames[1].to_string_view());
    {
        const std::lock_guard lock(mutex_);
        bytes_[*owner].bytes_received += frames[1].size() + message_overhead;
    }
    if (!is_ok(decoded))
    {
        refuse("from " + owner->value() + ": " + error_of(decoded).message);
        return;
    }
    auto message = value_of(std::move(decoded));
    if (message.sender != *owner)
    {
        refuse("a message with the key of " + owner->value() +
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
    while (take_event(server_monitor_))
    {
        refuse("a client did not follow the protocol");
    }
}

void peer_transport::implementation::report_connections()
{
    std::ranges::for_each(connections_, [&](auto& entry) {
        const auto change = entry.second->take_state_change();
        if (change && handlers_.connection)
        {
            handlers_.connection(entry.first, *change);
        }
    });
}

void peer_transport::implementation::refuse(const std::string& reason)
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
