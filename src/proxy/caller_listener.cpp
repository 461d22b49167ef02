// Implements acceptance and ownership of callers' connections.
#include "proxy/caller_listener.hpp"

#include <algorithm>
#include <utility>

#include <QHostAddress>
#include <QTcpSocket>

namespace hemlockdeal
{

namespace
{

// Connections that the kernel holds until they are accepted; the default of
// QTcpServer (50) is less than a balancer opens at once.
constexpr int accept_backlog = 1024;

} // namespace

caller_listener::caller_listener(const proxy_limits& limits,
                                 caller_handlers handlers)
    : limits_(limits), owner_(std::move(handlers)), handlers_(owner_)
{
    handlers_.gone = [this](caller_connection& c) {
        owner_.gone(c);
        forget(c);
    };
    server_.setListenBacklogSize(accept_backlog);
    server_.setMaxPendingConnections(accept_backlog);
    QObject::connect(&server_, &QTcpServer::newConnection, &server_,
                     [this] { accept(); });
}

bool caller_listener::listen(const std::string& ip, std::uint16_t port)
{
    return server_.listen(QHostAddress(QString::fromStdString(ip)), port);
}

void caller_listener::accept()
{
    while (QTcpSocket* socket = server_.nextPendingConnection())
    {
        if (connections_.size() >= limits_.callers)
        {
            ++refused_;
            socket->abort();
            socket->deleteLater();
            continue;
        }
        const std::uint64_t id = ++next_id_;
        connections_.emplace(id, std::make_unique<caller_connection>(
                                     id, socket, limits_, handlers_));
    }
}

void caller_listener::forget(caller_connection& connection)
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
    // A connection that breaks a limit leaves the map.
    std::vector<caller_connection*> all;
    all.reserve(connections_.size());
    std::ranges::transform(
        connections_, std::back_inserter(all),
        [](const auto& entry) { return entry.second.get(); });
    std::ranges::for_each(all,
                          [now](caller_connection* c) { c->check_time(now); });
}

void caller_listener::close_idle(time_point quiet_since)
{
    std::vector<caller_connection*> quiet;
    std::ranges::for_each(connections_, [&](const auto& entry) {
        caller_connection& c = *entry.second;
        if (c.is_idle() && c.last_activity() < quiet_since)
        {
            quiet.push_back(&c);
        }
    });
    std::ranges::for_each(quiet,
                          [](caller_connection* c) { c->close_when_sent(); });
}

bool caller_listener::has_unsent_bytes() const
{
    return std::ranges::any_of(connections_, [](const auto& entry) {
        return entry.second->has_unsent_bytes();
    });
}

} // namespace hemlockdeal
