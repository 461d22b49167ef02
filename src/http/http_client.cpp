// Implements the HTTP client: choice of connection, deadlines and failures.
#include "http/http_client.hpp"

#include <algorithm>
#include <utility>

#include <QTimer>

#include "http/boot_clock.hpp"
#include "http/http_client_connection.hpp"
#include "http/watched_socket.hpp"

namespace hemlockdeal
{

namespace
{

// Handlers run later, so that no caller is entered again from its own send().
void fail_later(call_handler handler, call_failure failure)
{
    QTimer::singleShot(0, [handler = std::move(handler),
                           failure = std::move(failure)] { handler(failure); });
}

} // namespace

http_client::http_client(socket_address address, http_client_options options)
    : address_(std::move(address)), options_(options)
{}

http_client::~http_client() = default;

void http_client::send(http_request request, duration timeout,
                       call_handler handler)
{
    if (request.host.empty())
    {
        request.host = to_text(address_);
    }
    waiting_.push_back(
        {to_bytes(request), boot_now() + timeout, std::move(handler)});
    dispatch();
}

http_client_connection* http_client::free_connection()
{
    const auto least = std::ranges::min_element(
        connections_, {}, [](const auto& c) { return c->in_flight(); });
    const bool has_idle =
        least != connections_.end() && (*least)->in_flight() == 0;
    if (!has_idle && connections_.size() < options_.connections)
    {
        auto socket = watched_socket::connect_to(address_);
        if (socket)
        {
            ++opened_;
            connections_.push_back(std::make_unique<http_client_connection>(
                *this, std::move(socket)));
            return connections_.back().get();
        }
    }
    if (least == connections_.end() ||
        (*least)->in_flight() >= options_.pipelined)
    {
        return nullptr;
    }
    return least->get();
}

void http_client::dispatch()
{
    while (!waiting_.empty())
    {
        auto* const connection = free_connection();
        if (connection == nullptr)
        {
            return;
        }
        auto next = std::move(waiting_.front());
        waiting_.pop_front();
        connection->send(std::move(next));
    }
}

void http_client::retire(http_client_connection& connection,
                         const std::string& reason)
{
    const auto found = std::ranges::find_if(
        connections_, [&](const auto& c) { return c.get() == &connection; });
    if (found == connections_.end())
    {
        return;
    }
    // The connection may be executing one of its own functions.
    std::shared_ptr<http_client_connection> retired = std::move(*found);
    connections_.erase(found);
    const bool maybe_executed = retired->has_sent();
    for (auto& unanswered : retired->take_calls())
    {
        fail_later(std::move(unanswered.handler), {reason, maybe_executed});
    }
    QTimer::singleShot(0, [retired] {});
    dispatch();
}

void http_client::expire(time_point now)
{
    for (std::size_t i = connections_.size(); i-- > 0;)
    {
        if (i < connections_.size() && connections_[i]->has_expired(now))
        {
            retire(*connections_[i], "no response in time");
        }
    }
    while (!waiting_.empty() && waiting_.front().deadline <= now)
    {
        fail_later(std::move(waiting_.front().handler),
                   {"no free connection in time", false});
        waiting_.pop_front();
    }
}

void http_client::reset(const std::string& reason)
{
    auto unsent = std::move(waiting_);
    waiting_.clear();
    for (auto& kept : unsent)
    {
        fail_later(std::move(kept.handler), {reason, false});
    }
    while (!connections_.empty())
    {
        retire(*connections_.back(), reason);
    }
}

std::size_t http_client::load() const
{
    std::size_t sum = waiting_.size();
    for (const auto& connection : connections_)
    {
        sum += connection->in_flight();
    }
    return sum;
}

} // namespace hemlockdeal
