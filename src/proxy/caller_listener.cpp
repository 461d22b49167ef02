// Implements accepting and ownership of callers' connections.
#include "proxy/caller_listener.hpp"

#include <algorithm>
#include <utility>

#include <QHostAddress>
#include <QTcpSocket>
#include <unistd.h>

#include "proxy/socket_options.hpp"

namespace hemlockdeal
{

namespace
{

// Connections that the kernel queues until they are accepted; the default of
// QTcpServer (50) is less than a load balancer opens at once.
constexpr int accept_backlog = 1024;

} // namespace

caller_listener::caller_listener(const proxy_limits& limits,
                                 caller_handlers handlers)
    : limits_(limits), owner_handlers_(std::move(handlers)),
      handlers_(owner_handlers_), server_(*this)
{
    handlers_.connection_ended = [this](caller_connection& c) {
        owner_handlers_.connection_ended(c);
        remove_connection(c);
    };
    handlers_.received = [this](caller_connection& c) {
        count(c);
        make_room(nullptr);
    };
    handlers_.has_room = [this](caller_connection& c) {
        count(c);
        make_room(&c);
        refused_for_memory_ += has_room() ? 0 : 1;
        return has_room();
    };
    server_.setListenBacklogSize(accept_backlog);
}

bool caller_listener::listen(const std::string& ip, std::uint16_t port)
{
    return server_.start(QHostAddress(QString::fromStdString(ip)), port);
}

void caller_listener::accept(qintptr descriptor)
{
    auto socket = std::make_unique<QTcpSocket>();
    if (!socket->setSocketDescriptor(descriptor))
    {
        ::close(static_cast<int>(descriptor));
        return;
    }
    if (connections_.size() >= limits_.callers && !close_longest_idle())
    {
        ++refused_;
        socket->abort();
        return;
    }
    const std::uint64_t id = ++next_id_;
    connections_.emplace(id, std::make_unique<caller_connection>(
                                 id, socket.release(), limits_, handlers_));
}

bool caller_listener::close_longest_idle()
{
    const auto idle_since = monotonic_now() - limits_.min_idle_time;
    caller_connection* longest = nullptr;
    std::ranges::for_each(connections_, [&](const auto& entry) {
        auto& c = *entry.second;
        const bool is_longer =
            longest == nullptr || c.last_activity() < longest->last_activity();
        if (c.is_idle() && c.last_activity() < idle_since && is_longer)
        {
            longest = &c;
        }
    });
    if (longest == nullptr)
    {
        return false;
    }
    longest->close_when_sent();
    ++refused_;
    return connections_.size() < limits_.callers;
}

void caller_listener::remove_connection(caller_connection& connection)
{
    const auto found = connections_.find(connection.id());
    if (found == connections_.end())
    {
        return;
    }
    buffered_ -= connection.counted_bytes();
    connection.set_counted_bytes(0);
    ended_.push_back(std::move(found->second));
    connections_.erase(found);
}

void caller_listener::count(caller_connection& connection)
{
    if (!connections_.contains(connection.id()))
    {
        return;
    }
    const auto bytes = connection.buffered();
    buffered_ += bytes - connection.counted_bytes();
    connection.set_counted_bytes(bytes);
}

bool caller_listener::has_room() const
{
    return buffered_ + endpoint_bytes_ <= limits_.buffered_bytes;
}

void caller_listener::make_room(const caller_connection* exempt)
{
    if (has_room())
    {
        return;
    }
    close_oldest(
        [exempt](const caller_connection& c) {
            return &c != exempt && c.is_receiving();
        },
        &caller_connection::phase_started,
        [](caller_connection& c) { c.refuse_for_memory(); });
    close_oldest(
        [exempt](const caller_connection& c) {
            return &c != exempt && c.is_sending();
        },
        &caller_connection::last_activity,
        [](caller_connection& c) { c.abort(); });
}

template <typename Victim, typename Key, typename Close>
void caller_listener::close_oldest(Victim is_victim, Key key, Close close)
{
    if (has_room())
    {
        return;
    }
    std::vector<caller_connection*> victims;
    std::ranges::for_each(connections_, [&](const auto& entry) {
        if (is_victim(*entry.second))
        {
            victims.push_back(entry.second.get());
        }
    });
    std::ranges::sort(victims, {}, key);
    // Frees more than necessary, so that this does not repeat at each read.
    const auto enough = limits_.buffered_bytes / 8 * 7;
    for (auto* const victim : victims)
    {
        if (buffered_ + endpoint_bytes_ <= enough)
        {
            return;
        }
        // Closing another one may have ended this one too.
        if (!is_victim(*victim))
        {
            continue;
        }
        ++refused_for_memory_;
        close(*victim);
        count(*victim);
    }
}

caller_connection* caller_listener::find(std::uint64_t id)
{
    const auto found = connections_.find(id);
    return found == connections_.end() ? nullptr : found->second.get();
}

void caller_listener::check_time(time_point now)
{
    ended_.clear();
    // Iterates over a copy, since a connection that exceeds a limit is removed
    // from the map.
    std::vector<caller_connection*> connections;
    connections.reserve(connections_.size());
    std::ranges::transform(
        connections_, std::back_inserter(connections),
        [](const auto& entry) { return entry.second.get(); });
    std::ranges::for_each(connections, [this, now](caller_connection* c) {
        c->check_time(now);
        count(*c);
    });
    make_room(nullptr);
}

void caller_listener::close_idle(time_point idle_since)
{
    std::vector<caller_connection*> idle_connections;
    std::ranges::for_each(connections_, [&](const auto& entry) {
        caller_connection& c = *entry.second;
        if (c.is_idle() && c.last_activity() < idle_since)
        {
            idle_connections.push_back(&c);
        }
    });
    std::ranges::for_each(idle_connections,
                          [](caller_connection* c) { c->close_when_sent(); });
}

} // namespace hemlockdeal
