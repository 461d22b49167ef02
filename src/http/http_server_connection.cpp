// Implements one connection of the HTTP server.
#include "http/http_server_connection.hpp"

#include <utility>

#include <QTimer>
#include <boost/asio/buffer.hpp>

#include "http/boot_clock.hpp"

namespace hemlockdeal
{

namespace
{

namespace bhttp = boost::beast::http;

constexpr unsigned bad_request = 400;
constexpr unsigned payload_too_large = 413;
constexpr unsigned header_too_large = 431;
constexpr unsigned unavailable = 503;

constexpr const char* retry_after_s = "1";

unsigned status_of(refusal why)
{
    switch (why)
    {
    case refusal::body_too_large:
        return payload_too_large;
    case refusal::header_too_large:
        return header_too_large;
    case refusal::memory:
    case refusal::connections:
    case refusal::descriptors:
        return unavailable;
    case refusal::framing_too_large:
    case refusal::pipelined:
    case refusal::malformed:
        break;
    }
    return bad_request;
}

refusal refusal_for(const boost::beast::error_code& error)
{
    if (error == bhttp::error::body_limit)
    {
        return refusal::body_too_large;
    }
    return error == bhttp::error::header_limit ? refusal::header_too_large
                                               : refusal::malformed;
}

} // namespace

http_server_connection::http_server_connection(http_server& server,
                                               int descriptor)
    : server_(server), budget_(server.budget_), descriptor_(descriptor),
      socket_(descriptor), last_activity_(boot_now())
{}

http_server_connection::~http_server_connection()
{
    budget_->remove(budget_id_);
}

void http_server_connection::start()
{
    budget_id_ =
        budget_->add(last_activity_, [weak = weak_from_this()](refusal why) {
            if (const auto connection = weak.lock())
            {
                connection->give_up(why);
            }
        });
    socket_.on_readable([this] { on_readable(); });
}

void http_server_connection::on_readable()
{
    if (closed_)
    {
        return;
    }
    const auto self = shared_from_this();
    if (refused_)
    {
        discard_received();
        return;
    }
    if (!socket_.receive(received_))
    {
        close();
        return;
    }
    parse_request();
    // What arrives before the response is sent is not parsed yet; a caller must
    // not fill the memory with it.
    const auto& limits = server_.limits();
    if (received_.size() > limits.header_bytes + limits.body_bytes)
    {
        server_.refusals_.add(refusal::pipelined);
        close();
    }
    report_bytes();
    budget_->enforce();
}

void http_server_connection::on_writable()
{
    if (!socket_.flush())
    {
        close();
        return;
    }
    if (!is_busy() && close_after_response_)
    {
        finish();
        return;
    }
    parse_request();
    report_bytes();
}

void http_server_connection::discard_received()
{
    const auto count = socket_.discard();
    discarded_ += count.value_or(0);
    if (!count || discarded_ > server_.limits().linger_bytes)
    {
        close();
    }
}

void http_server_connection::finish()
{
    if (!refused_)
    {
        close();
        return;
    }
    socket_.shut_down_sending();
}

void http_server_connection::parse_request()
{
    if (received_.empty() || is_busy())
    {
        return;
    }
    if (!parser_)
    {
        parser_.emplace();
        parser_->eager(true);
        parser_->header_limit(server_.limits().header_bytes);
        parser_->body_limit(server_.limits().body_bytes);
        last_activity_ = boot_now();
        enter(connection_stage::incomplete);
    }
    boost::beast::error_code error;
    const auto used = parser_->put(boost::asio::buffer(received_), error);
    received_.erase(0, used);
    // A large request must not leave a large buffer.
    received_.shrink_to_fit();
    if (error && error != bhttp::error::need_more)
    {
        reject(refusal_for(error));
        return;
    }
    if (!parser_->is_done())
    {
        // Chunk headers, chunk extensions and trailers are consumed only when
        // they are complete, and the parser's own limits do not cover them.
        if (received_.size() > server_.limits().header_bytes)
        {
            reject(refusal::framing_too_large);
        }
        return;
    }
    auto message = parser_->release();
    parser_.reset();
    serving_ = true;
    enter(connection_stage::serving);
    close_after_response_ = !message.keep_alive();
    server_.service_(to_request(message), http_responder(weak_from_this()));
}

void http_server_connection::reject(refusal why)
{
    server_.refusals_.add(why);
    free_received();
    parser_.reset();
    refused_ = true;
    serving_ = true;
    close_after_response_ = true;
    const auto status = status_of(why);
    http_response response{status, {}, {}};
    if (status == unavailable)
    {
        response.headers.emplace_back("Retry-After", retry_after_s);
    }
    respond(response);
    enter(connection_stage::refused);
    report_bytes();
}

void http_server_connection::give_up(refusal why)
{
    if (closed_)
    {
        return;
    }
    const auto self = shared_from_this();
    const bool can_respond = parser_ && !is_busy();
    if (can_respond)
    {
        reject(why);
        return;
    }
    if (!refused_)
    {
        server_.refusals_.add(why);
    }
    close();
}

void http_server_connection::free_received()
{
    received_.clear();
    received_.shrink_to_fit();
}

void http_server_connection::enter(connection_stage stage)
{
    budget_->set_stage(budget_id_, stage, last_activity_);
}

std::size_t http_server_connection::held_bytes() const
{
    const auto received = received_.empty() ? 0 : received_.capacity();
    const auto body = parser_ ? parser_->get().body().capacity() : 0;
    return received + body + socket_.unsent_bytes();
}

void http_server_connection::report_bytes()
{
    if (!closed_)
    {
        budget_->set_bytes(budget_id_, held_bytes());
    }
}

void http_server_connection::respond(const http_response& response)
{
    if (!serving_ || closed_)
    {
        return;
    }
    const auto self = shared_from_this();
    serving_ = false;
    last_activity_ = boot_now();
    enter(connection_stage::idle);
    close_after_response_ = close_after_response_ || server_.is_draining();
    if (!socket_.send(to_bytes(response, close_after_response_)))
    {
        close();
        return;
    }
    if (socket_.has_unsent())
    {
        socket_.on_writable([this] { on_writable(); });
        report_bytes();
        return;
    }
    if (close_after_response_)
    {
        finish();
        return;
    }
    if (!received_.empty())
    {
        // The service may respond synchronously, so the next request is parsed
        // from the event loop to avoid recursion.
        QTimer::singleShot(0, [self] {
            if (!self->closed_)
            {
                self->parse_request();
                self->report_bytes();
            }
        });
    }
}

bool http_server_connection::has_expired(time_point now) const
{
    if (serving_)
    {
        return false;
    }
    const auto& limits = server_.limits();
    if (refused_)
    {
        return now - last_activity_ > limits.linger_time;
    }
    const auto limit = parser_ ? limits.request_time : limits.idle_time;
    return now - last_activity_ > limit;
}

void http_server_connection::close()
{
    if (closed_)
    {
        return;
    }
    closed_ = true;
    free_received();
    parser_.reset();
    budget_->remove(budget_id_);
    server_.remove(descriptor_);
}

} // namespace hemlockdeal
