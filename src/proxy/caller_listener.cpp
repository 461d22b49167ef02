// Implements accepting and ownership of callers' connections.
#include "proxy/caller_listener.hpp"

#include <algorithm>
#include <utility>

#include <QHostAddress>
#include <QTcpSocket>
#include <unistd.h>

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
    if (connections_.size() >= limits_.callers)
    {
        ++refused_;
        socket->abort();
        return;
    }
    const std::uint64_t id = ++next_id_;
    connections_.emplace(id, std::make_unique<caller_connection>(
                                 id, socket.release(), limits_, handlers_));
}

void caller_listener::remove_connection(caller_connection& connection)
{
    const auto found = connections_.find(connection.id());
    if (found == connections_.end())
    {
        return;
    }
    ended_.push_back(std::move(found->second));
    connections_.erase(found);
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
    std::ranges::for_each(connections,
                          [now](caller_connection* c) { c->check_time(now); });
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
