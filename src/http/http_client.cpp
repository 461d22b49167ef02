// Implements the HTTP client: connection selection, deadlines and failures.
#include "http/http_client.hpp"

#include <algorithm>
#include <utility>

#include <QTimer>

#include "http/boot_clock.hpp"
#include "http/http_client_connection.hpp"
#include "http/nonblocking_socket.hpp"

namespace hemlockdeal
{

namespace
{

// Handlers are called from the event loop, so that send() never calls back into
// its caller.
void post_failure(call_handler handler, call_failure failure)
{
    QTimer::singleShot(0, [handler = std::move(handler),
                           failure = std::move(failure)] { handler(failure); });
}

} // namespace

http_client::http_client(socket_address address, http_client_options options,
                         call_observer observer)
    : address_(std::move(address)), options_(options),
      observer_(std::move(observer))
{}

http_client::~http_client() = default;

call_id http_client::send(http_request request, duration timeout,
                          call_handler handler)
{
    if (request.host.empty())
    {
        request.host = to_text(address_);
    }
    const auto id = static_cast<call_id>(++last_id_);
    queue_.push_back({id, request.target, to_bytes(request),
                      response_deadline(boot_now(), timeout, options_.progress),
                      std::move(handler)});
    dispatch();
    return id;
}

void http_client::cancel(call_id id, const std::string& reason)
{
    const auto queued = std::ranges::find(queue_, id, &call::id);
    if (queued != queue_.end())
    {
        record(*queued, reason);
        queue_.erase(queued);
        return;
    }
    const auto found = std::ranges::find_if(
        connections_, [id](const auto& c) { return c->drop_handler(id); });
    if (found != connections_.end())
    {
        retire(**found, reason);
    }
}

bool http_client::has_response_begun(call_id id) const
{
    return std::ranges::any_of(connections_, [id](const auto& c) {
        return c->has_response_begun() && c->responding() == id;
    });
}

void http_client::record(const call& ended, const std::string& failure) const
{
    if (!observer_)
    {
        return;
    }
    call_record out;
    out.target = ended.target;
    const auto& deadline = ended.deadline;
    out.took = boot_now() - deadline.sent_at();
    if (const auto begun_at = deadline.begun_at())
    {
        out.begun_after = *begun_at - deadline.sent_at();
    }
    out.received = deadline.received();
    out.failure = failure;
    observer_(out);
}

void http_client::fail(call failed, const std::string& reason,
                       bool maybe_executed)
{
    record(failed, reason);
    if (!failed.handler)
    {
        return;
    }
    post_failure(std::move(failed.handler), {reason, maybe_executed});
}

http_client_connection* http_client::available_connection()
{
    const auto least_loaded = std::ranges::min_element(
        connections_, {}, [](const auto& c) { return c->in_flight(); });
    const bool has_idle_connection =
        least_loaded != connections_.end() && (*least_loaded)->in_flight() == 0;
    if (!has_idle_connection && connections_.size() < options_.connections)
    {
        auto socket = nonblocking_socket::connect_to(address_);
        if (socket)
        {
            ++opened_;
            connections_.push_back(std::make_unique<http_client_connection>(
                *this, std::move(socket)));
            return connections_.back().get();
        }
    }
    if (least_loaded == connections_.end() ||
        (*least_loaded)->in_flight() >= options_.max_pipelined)
    {
        return nullptr;
    }
    return least_loaded->get();
}

void http_client::dispatch()
{
    while (!queue_.empty())
    {
        auto* const connection = available_connection();
        if (connection == nullptr)
        {
            return;
        }
        auto next = std::move(queue_.front());
        queue_.pop_front();
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
    // The connection may be on the call stack, so it is destroyed from the
    // event loop.
    std::shared_ptr<http_client_connection> retired = std::move(*found);
    connections_.erase(found);
    const bool maybe_executed = retired->has_sent();
    for (auto& failed_call : retired->release_calls())
    {
        fail(std::move(failed_call), reason, maybe_executed);
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
            retire(*connections_[i], connections_[i]->has_response_begun()
                                         ? "response makes no progress"
                                         : "no response in time");
        }
    }
    while (!queue_.empty() && queue_.front().deadline.has_expired(now))
    {
        fail(std::move(queue_.front()),
             "no free connection before the deadline", false);
        queue_.pop_front();
    }
}

void http_client::reset(const std::string& reason)
{
    auto unsent = std::move(queue_);
    queue_.clear();
    for (auto& unsent_call : unsent)
    {
        fail(std::move(unsent_call), reason, false);
    }
    while (!connections_.empty())
    {
        retire(*connections_.back(), reason);
    }
}

std::size_t http_client::load() const
{
    std::size_t sum = queue_.size();
    for (const auto& connection : connections_)
    {
        sum += connection->in_flight();
    }
    return sum;
}

} // namespace hemlockdeal
