// Implements one connection of the HTTP client.
#include "http/http_client_connection.hpp"

#include <algorithm>
#include <utility>

#include "http/boot_clock.hpp"
#include "http/bounded_put.hpp"

namespace hemlockdeal
{

namespace
{

constexpr std::uint64_t body_limit = 16ULL * 1024 * 1024;
constexpr std::uint32_t header_limit = 16U * 1024;

} // namespace

http_client_connection::http_client_connection(
    http_client& owner, std::unique_ptr<nonblocking_socket> socket)
    : owner_(owner), socket_(std::move(socket))
{
    socket_->on_readable([this] { on_readable(); });
    socket_->on_writable([this] { on_writable(); });
}

void http_client_connection::send(http_client::call outgoing)
{
    auto bytes = std::move(outgoing.bytes);
    calls_.push_back(std::move(outgoing));
    // A send error is reported as a socket event, whose handler fails the call.
    socket_->send(std::move(bytes));
}

bool http_client_connection::has_expired(time_point now) const
{
    return !calls_.empty() && calls_.front().deadline.has_expired(now) &&
           !socket_->has_unread();
}

bool http_client_connection::drop_handler(call_id id)
{
    const auto found = std::ranges::find(calls_, id, &http_client::call::id);
    if (found == calls_.end())
    {
        return false;
    }
    found->handler = {};
    return true;
}

void http_client_connection::on_writable()
{
    if (!socket_->flush())
    {
        owner_.retire(*this, "connection refused or failed");
    }
}

void http_client_connection::on_readable()
{
    const auto known = received_.size();
    const bool open = socket_->receive(received_);
    count_received(received_.size() - known);
    if (!received_.empty())
    {
        if (const auto error = parse_responses(); !error.empty())
        {
            owner_.retire(*this, error);
            return;
        }
    }
    if (!open)
    {
        owner_.retire(*this, "connection closed or failed");
        return;
    }
    owner_.dispatch();
}

void http_client_connection::count_received(std::size_t bytes)
{
    if (!calls_.empty())
    {
        calls_.front().deadline.on_received(bytes, boot_now());
    }
}

std::string http_client_connection::parse_responses()
{
    while (!received_.empty())
    {
        if (calls_.empty())
        {
            return "unexpected response";
        }
        boost::beast::error_code error;
        const auto used = parse_received(error);
        if (error && error != boost::beast::http::error::need_more)
        {
            return "malformed response: " + error.message();
        }
        if (parser_->is_done())
        {
            complete_call();
        }
        else if (used == 0)
        {
            break;
        }
    }
    return {};
}

std::size_t
http_client_connection::parse_received(boost::beast::error_code& error)
{
    if (!parser_)
    {
        parser_.emplace();
        parser_->eager(true);
        parser_->body_limit(body_limit);
        parser_->header_limit(header_limit);
    }
    const auto used = bounded_put_all(*parser_, received_, header_limit, error);
    received_.erase(0, used);
    return used;
}

void http_client_connection::complete_call()
{
    auto message = parser_->release();
    parser_.reset();
    http_response response;
    response.status = message.result_int();
    for (const auto& field : message)
    {
        response.headers.emplace_back(
            std::string(field.name_string().data(), field.name_string().size()),
            std::string(field.value().data(), field.value().size()));
    }
    response.body = std::move(message.body());
    auto completed = std::move(calls_.front());
    calls_.pop_front();
    owner_.record(completed, {});
    completed.handler(std::move(response));
}

} // namespace hemlockdeal
