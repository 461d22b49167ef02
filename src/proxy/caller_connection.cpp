// Implements request parsing and response writing for one connection.
#include "proxy/caller_connection.hpp"

#include <algorithm>
#include <utility>

#include "http/bounded_put.hpp"
#include "proxy/socket_options.hpp"

namespace hemlockdeal
{

namespace
{

// Maximum number of bytes per read from the socket.
constexpr qint64 read_chunk_size = 64LL * 1024;

bool has_no_body(unsigned status, http::verb method)
{
    return method == http::verb::head || status == 204 || status == 304;
}

} // namespace

caller_connection::caller_connection(std::uint64_t id, QTcpSocket* socket,
                                     const proxy_limits& limits,
                                     const caller_handlers& handlers)
    : id_(id), socket_(socket), limits_(limits), handlers_(handlers),
      phase_started_(monotonic_now()), last_activity_(phase_started_)
{
    set_connection_options(*socket_);
    socket_->setReadBufferSize(static_cast<qint64>(limits_.window));
    QObject::connect(socket_, &QTcpSocket::readyRead, socket_, [this] {
        read();
        handlers_.received(*this);
    });
    QObject::connect(socket_, &QTcpSocket::bytesWritten, socket_, [this] {
        last_activity_ = monotonic_now();
        if (phase_ == phase::in_progress && can_write_response())
        {
            handlers_.response_writable(*this);
        }
    });
    QObject::connect(socket_, &QTcpSocket::disconnected, socket_,
                     [this] { end(); });
}

caller_connection::~caller_connection()
{
    socket_->disconnect();
    socket_->abort();
    socket_->deleteLater();
}

std::string_view caller_connection::body_after(std::uint64_t offset) const
{
    return std::string_view(body_).substr(
        static_cast<std::size_t>(offset - discarded_));
}

std::optional<std::uint64_t> caller_connection::body_length() const
{
    return body_complete_ ? discarded_ + body_.size() : length_;
}

void caller_connection::discard_body(std::uint64_t up_to)
{
    const std::size_t count = static_cast<std::size_t>(up_to - discarded_);
    // Erasing a few bytes would cost more for moving the rest than it frees.
    if (count == 0 || (count < limits_.window / 4 && count < body_.size()))
    {
        return;
    }
    body_.erase(0, count);
    discarded_ = up_to;
    if (!body_complete_ && !parsing_)
    {
        read();
    }
}

bool caller_connection::body_window_full() const
{
    return body_.size() >= limits_.window;
}

void caller_connection::read()
{
    if (phase_ == phase::lingering)
    {
        socket_->skip(socket_->bytesAvailable());
        return;
    }
    // Bytes after a complete request stay in the socket's bounded buffer until
    // the response is finished.
    const bool wants_input = phase_ == phase::idle ||
                             phase_ == phase::reading ||
                             (phase_ == phase::in_progress && !body_complete_);
    if (wants_input)
    {
        parse();
    }
}

void caller_connection::parse()
{
    if (parsing_)
    {
        return;
    }
    parsing_ = true;
    while (parse_once())
    {}
    parsing_ = false;
    if (phase_ == phase::lingering)
    {
        release_input();
    }
    else if (unparsed() == 0)
    {
        release_memory(input_);
        input_offset_ = 0;
    }
    if (phase_ == phase::in_progress && head_parsed_)
    {
        handlers_.body_arrived(*this);
    }
}

// Returns true if there may be more input to parse.
bool caller_connection::parse_once()
{
    const bool done_reading = phase_ == phase::lingering ||
                              phase_ == phase::ended ||
                              (phase_ == phase::in_progress && body_complete_);
    if (done_reading || body_window_full())
    {
        return false;
    }
    if (socket_->bytesAvailable() > 0)
    {
        input_.erase(0, input_offset_);
        input_offset_ = 0;
        const std::size_t before = input_.size();
        input_.resize(
            before + static_cast<std::size_t>(
                         std::min(read_chunk_size, socket_->bytesAvailable())));
        const qint64 got =
            socket_->read(input_.data() + before,
                          static_cast<qint64>(input_.size() - before));
        input_.resize(before + static_cast<std::size_t>(std::max(got, 0LL)));
        last_activity_ = monotonic_now();
    }
    if (unparsed() == 0)
    {
        return false;
    }
    if (phase_ == phase::idle)
    {
        phase_ = phase::reading;
        phase_started_ = last_activity_;
    }
    if (!parser_)
    {
        parser_.emplace();
        parser_->header_limit(limits_.header_bytes);
        parser_->body_limit(limits_.body_bytes);
    }
    boost::beast::error_code error;
    const std::size_t used =
        bounded_put(*parser_, std::string_view(input_).substr(input_offset_),
                    limits_.header_bytes, error);
    input_offset_ += used;
    if (error && error != http::error::need_more)
    {
        reject_parse_error(error);
        return false;
    }
    if (!head_parsed_ && parser_->is_header_done())
    {
        process_head();
    }
    else if (head_parsed_)
    {
        process_body();
    }
    return (used > 0 && phase_ != phase::lingering) ||
           socket_->bytesAvailable() > 0;
}

void caller_connection::process_head()
{
    head_parsed_ = true;
    keep_alive_ = parser_->keep_alive();
    length_.reset();
    if (!parser_->chunked())
    {
        const auto stated = parser_->content_length();
        length_ = stated ? *stated : 0;
    }
    head_ = std::move(parser_->get().base());
    if (head_.method() == http::verb::connect)
    {
        reject(501, "method CONNECT is not supported");
        return;
    }
    write_continue_if_expected();
    process_body();
}

void caller_connection::write_continue_if_expected()
{
    const bool expects =
        boost::beast::iequals(head_[http::field::expect], "100-continue");
    head_.erase(http::field::expect);
    if (expects && !parser_->is_done())
    {
        socket_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void caller_connection::process_body()
{
    std::string& parsed = parser_->get().body();
    body_.append(parsed);
    parsed.clear();
    body_complete_ = parser_->is_done();
    // A request is reported when its body is complete or fills the window, so
    // that a slow sender of a small body does not occupy a slot of an endpoint.
    if (phase_ == phase::reading && (body_complete_ || body_window_full()))
    {
        notify_request_ready();
    }
}

void caller_connection::notify_request_ready()
{
    if (!is_health_check() && !handlers_.has_room(*this))
    {
        refuse();
        return;
    }
    phase_ = phase::in_progress;
    phase_started_ = last_activity_;
    if (!respond_to_health_check())
    {
        handlers_.request_ready(*this);
    }
}

bool caller_connection::is_health_check() const
{
    return path_of(to_view(head_.target())) == "/healthz";
}

bool caller_connection::respond_to_health_check()
{
    if (!is_health_check())
    {
        return false;
    }
    http::response_header<> response;
    response.result(handlers_.draining() ? 503U : 200U);
    respond(std::move(response), {});
    return true;
}

void caller_connection::begin_response(http::response_header<>&& head,
                                       std::optional<std::uint64_t> length)
{
    const unsigned status = head.result_int();
    response_has_no_body_ = has_no_body(status, head_.method());
    const bool is_http_1_0 = head_.version() < 11;
    // HTTP/1.0 has no chunked encoding; without a length, closing the
    // connection marks the end of the response.
    keep_alive_ = keep_alive_ && !handlers_.draining() && body_complete_ &&
                  (!is_http_1_0 || length || response_has_no_body_);
    head.version(11);
    if (is_http_1_0 && !length)
    {
        head.erase(http::field::transfer_encoding);
    }
    else if (!response_has_no_body_ || length)
    {
        set_framing(head, length);
    }
    if (status == 204 || status == 304)
    {
        head.erase(http::field::transfer_encoding);
    }
    if (!keep_alive_)
    {
        head.set(http::field::connection, "close");
    }
    else if (is_http_1_0)
    {
        head.set(http::field::connection, "keep-alive");
    }
    response_started_ = true;
    writer_.begin(std::move(head));
}

void caller_connection::write_response(std::string_view piece)
{
    if (!response_has_no_body_)
    {
        writer_.write_body(piece, *socket_);
    }
}

void caller_connection::flush_buffered()
{
    writer_.flush_buffered(*socket_);
}

bool caller_connection::can_write_response() const
{
    return socket_->bytesToWrite() < static_cast<qint64>(limits_.window);
}

void caller_connection::finish_response()
{
    // A response without a body has no terminating chunk either.
    if (response_has_no_body_)
    {
        writer_.finish_without_body(*socket_);
    }
    else
    {
        writer_.finish(*socket_);
    }
    if (!keep_alive_ || !body_complete_)
    {
        close_when_sent();
        return;
    }
    start_next_request();
}

void caller_connection::start_next_request()
{
    phase_ = phase::idle;
    last_activity_ = monotonic_now();
    parser_.reset();
    head_parsed_ = false;
    head_ = {};
    length_.reset();
    release_memory(body_);
    discarded_ = 0;
    body_complete_ = false;
    response_started_ = false;
    if (unparsed() == 0)
    {
        release_memory(input_);
        input_offset_ = 0;
    }
    parse();
}

void caller_connection::respond(http::response_header<>&& head,
                                std::string_view body)
{
    begin_response(std::move(head), body.size());
    write_response(body);
    finish_response();
}

void caller_connection::respond_outcome(unsigned status,
                                        std::string_view outcome,
                                        std::string_view reason)
{
    http::response_header<> head;
    head.result(status);
    head.set("Hemlockdeal-Outcome", {outcome.data(), outcome.size()});
    head.set(http::field::content_type, "application/json");
    respond(std::move(head), outcome_body(outcome, reason));
}

std::size_t caller_connection::buffered() const
{
    return input_.capacity() + body_.capacity() + writer_.buffered() +
           static_cast<std::size_t>(socket_->bytesAvailable() +
                                    socket_->bytesToWrite());
}

void caller_connection::refuse()
{
    reject(503, "too many requests are being received");
}

void caller_connection::refuse_for_memory()
{
    refuse();
    release_input();
}

void caller_connection::release_input()
{
    release_memory(input_);
    input_offset_ = 0;
    release_memory(body_);
    parser_.reset();
}

void caller_connection::reject_parse_error(
    const boost::beast::error_code& error)
{
    if (error == http::error::header_limit)
    {
        reject(431, "request headers, chunk headers or trailers exceed "
                    "the size limit");
        return;
    }
    if (error == http::error::body_limit)
    {
        reject(413, "request body exceeds the size limit");
        return;
    }
    reject(400, "malformed request: " + error.message());
}

// Rejects the request with an error response and closes the connection; resets
// the connection if a response was already started.
void caller_connection::reject(unsigned status, std::string_view reason)
{
    const bool was_in_progress = phase_ == phase::in_progress;
    if (was_in_progress)
    {
        handlers_.request_failed(*this);
    }
    if (response_started_)
    {
        abort();
        return;
    }
    phase_ = phase::in_progress;
    keep_alive_ = false;
    // A request that was reported to the owner may have reached an endpoint.
    respond_outcome(status, was_in_progress ? "unknown" : "not-run", reason);
}

void caller_connection::close_when_sent()
{
    if (phase_ == phase::ended || phase_ == phase::lingering)
    {
        return;
    }
    const bool has_unread_body = !body_complete_ && phase_ != phase::idle;
    phase_ = phase::lingering;
    phase_started_ = monotonic_now();
    socket_->flush();
    if (!has_unread_body)
    {
        socket_->disconnectFromHost();
        return;
    }
    socket_->skip(socket_->bytesAvailable());
}

void caller_connection::abort()
{
    if (phase_ == phase::ended)
    {
        return;
    }
    reset_on_close(*socket_);
    socket_->abort();
    end();
}

void caller_connection::end()
{
    if (phase_ == phase::ended)
    {
        return;
    }
    phase_ = phase::ended;
    handlers_.connection_ended(*this);
}

void caller_connection::check_time(time_point now)
{
    switch (phase_)
    {
    case phase::idle:
        if (now - last_activity_ > limits_.idle_time)
        {
            close_when_sent();
        }
        break;
    case phase::reading:
        if (!head_parsed_ ? now - phase_started_ > limits_.header_time
                          : now - last_activity_ > limits_.body_idle_time)
        {
            reject(408, "request not received within the time limit");
        }
        break;
    case phase::in_progress:
        if (!body_complete_ && !body_window_full() &&
            now - last_activity_ > limits_.body_idle_time)
        {
            reject(408, "request body not received within the time limit");
        }
        else if (socket_->bytesToWrite() > 0 &&
                 now - last_activity_ > limits_.idle_time)
        {
            abort();
        }
        break;
    case phase::lingering:
        if (now - phase_started_ > limits_.linger_time &&
            (socket_->bytesToWrite() == 0 ||
             now - last_activity_ > limits_.idle_time))
        {
            socket_->abort();
            end();
        }
        break;
    case phase::ended:
        break;
    }
}

} // namespace hemlockdeal
