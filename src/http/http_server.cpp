// Implements the HTTP server: listening, accepting and connection expiry.
#include "http/http_server.hpp"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <stdexcept>
#include <utility>
#include <vector>

#include <QTimer>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http_server_connection.hpp"

namespace hemlockdeal
{

namespace
{

constexpr int backlog = 512;
constexpr int max_accepted_at_once = 32;
constexpr std::chrono::milliseconds accept_pause(50);

bool is_out_of_resources()
{
    return errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
           errno == ENOMEM;
}

int listen_on(const socket_address& address)
{
    const int descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
    {
        throw std::runtime_error("cannot create a listening socket");
    }
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &local.sin_addr);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&local),
             sizeof local) != 0 ||
        listen(descriptor, backlog) != 0)
    {
        ::close(descriptor);
        throw std::runtime_error("cannot listen on " + to_text(address));
    }
    return descriptor;
}

} // namespace

http_responder::http_responder(std::weak_ptr<http_server_connection> connection)
    : connection_(std::move(connection))
{}

void http_responder::operator()(const http_response& response) const
{
    if (const auto connection = connection_.lock())
    {
        connection->respond(response);
    }
}

http_server::http_server(const socket_address& address,
                         http_server_limits limits, http_service service,
                         std::shared_ptr<connection_budget> budget)
    : limits_(limits), service_(std::move(service)), budget_(std::move(budget)),
      listener_(listen_on(address))
{
    accept_notifier_ =
        std::make_unique<QSocketNotifier>(listener_, QSocketNotifier::Read);
    QObject::connect(accept_notifier_.get(), &QSocketNotifier::activated,
                     accept_notifier_.get(), [this] { accept_pending(); });
}

http_server::~http_server()
{
    accept_notifier_.reset();
    ::close(listener_);
}

void http_server::accept_pending()
{
    // Connections that are given up are closed by the event loop.
    for (int i = 0; i < max_accepted_at_once; ++i)
    {
        const int descriptor =
            accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0)
        {
            if (is_out_of_resources())
            {
                pause_accepting();
            }
            return;
        }
        const bool has_room = budget_->make_room();
        const auto connection =
            std::make_shared<http_server_connection>(*this, descriptor);
        connections_[descriptor] = connection;
        connection->start();
        if (!has_room)
        {
            connection->reject(refusal::connections);
        }
    }
}

void http_server::pause_accepting()
{
    refusals_.add(refusal::descriptors);
    budget_->give_up(max_accepted_at_once);
    accept_notifier_->setEnabled(false);
    QTimer::singleShot(accept_pause, accept_notifier_.get(),
                       [this] { accept_notifier_->setEnabled(true); });
}

void http_server::remove(int descriptor)
{
    const auto found = connections_.find(descriptor);
    if (found == connections_.end())
    {
        return;
    }
    // The connection may be on the call stack, so it is destroyed from the
    // event loop.
    QTimer::singleShot(0, [retained = found->second] {});
    connections_.erase(found);
}

void http_server::expire(time_point now)
{
    std::vector<std::shared_ptr<http_server_connection>> expired;
    for (const auto& [descriptor, connection] : connections_)
    {
        if (connection->has_expired(now))
        {
            expired.push_back(connection);
        }
    }
    std::ranges::for_each(expired, [](const auto& c) { c->close(); });
}

void http_server::drain()
{
    draining_ = true;
}

std::size_t http_server::unanswered() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(connections_, [](const auto& entry) {
            return entry.second->is_serving();
        }));
}

} // namespace hemlockdeal
