// Implements requests, probes and response parsing on one endpoint connection.
#include "proxy/endpoint_connection.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <QHostAddress>

#include "http/bounded_put.hpp"
#include "proxy/socket_options.hpp"

namespace hemlockdeal
{

namespace
{

// Maximum number of bytes per read from the socket.
constexpr std::size_t read_chunk_size = 64ULL * 1024;

} // namespace

endpoint_connection::endpoint_connection(instance_id instance,
                                         const std::string& address,
                                         const proxy_limits& limits,
                                         const endpoint_handlers& handlers)
    : instance_(std::move(instance)), address_(address), limits_(limits),
      handlers_(handlers), socket_(new QTcpSocket),
      phase_started_(monotonic_now())
{
    socket_->setReadBufferSize(static_cast<qint64>(limits_.window));
    QObject::connect(socket_, &QTcpSocket::connected, socket_, [this] {
        set_connection_options(*socket_);
        set_phase(phase::idle);
        handlers_.connected(*this);
    });
    QObject::connect(socket_, &QTcpSocket::readyRead, socket_,
                     [this] { read(); });
    QObject::connect(socket_, &QTcpSocket::bytesWritten, socket_, [this] {
        if (phase_ == phase::busy && !request_finished_ && can_write_request())
        {
            handlers_.request_writable(*this);
        }
    });
    QObject::connect(socket_, &QTcpSocket::errorOccurred, socket_, [this] {
        if (phase_ == phase::connecting)
        {
            fail("cannot connect to the endpoint: " +
                 socket_->errorString().toStdString());
        }
    });
    QObject::connect(socket_, &QTcpSocket::disconnected, socket_, [this] {
        remote_closed_ = true;
        process();
    });
    const QString text = QString::fromStdString(address_);
    socket_->connectToHost(QHostAddress(text.section(':', 0, -2)),
                           text.section(':', -1).toUShort());
}

endpoint_connection::~endpoint_connection()
{
    socket_->disconnect();
    socket_->abort();
    socket_->deleteLater();
}

void endpoint_connection::set_phase(phase next)
{
    phase_ = next;
    phase_started_ = monotonic_now();
}

bool endpoint_connection::is_ready() const
{
    return phase_ == phase::idle && is_open_without_input(*socket_);
}

void endpoint_connection::start_parser(bool no_body)
{
    no_body_ = no_body;
    head_parsed_ = false;
    parser_.emplace();
    parser_->header_limit(limits_.header_bytes);
    parser_->body_limit(boost::none);
    parser_->eager(true);
    parser_->skip(no_body);
}

void endpoint_connection::begin_request(http::request_header<>&& head,
                                        std::optional<std::uint64_t> length)
{
    set_phase(phase::busy);
    request_finished_ = false;
    reusable_ = false;
    paused_ = false;
    start_parser(head.method() == http::verb::head);
    head.version(11);
    // A request without a body declares no length, unless the original request
    // had a Content-Length header, as methods that usually have a body do.
    const bool no_body = length == std::uint64_t{0} &&
                         head.find(http::field::content_length) == head.end();
    if (no_body)
    {
        head.erase(http::field::transfer_encoding);
    }
    else
    {
        set_framing(head, length);
    }
    writer_.begin(std::move(head));
}

void endpoint_connection::write_request(std::string_view piece)
{
    writer_.write_body(piece, *socket_);
}

void endpoint_connection::flush_buffered()
{
    writer_.flush_buffered(*socket_);
}

bool endpoint_connection::can_write_request() const
{
    return socket_->bytesToWrite() < static_cast<qint64>(limits_.window);
}

void endpoint_connection::finish_request()
{
    request_finished_ = true;
    writer_.finish(*socket_);
}

void endpoint_connection::probe()
{
    set_phase(phase::probing);
    request_finished_ = true;
    reusable_ = false;
    paused_ = false;
    start_parser(true);
    const std::string request =
        "HEAD /healthz HTTP/1.1\r\nHost: " + address_ + "\r\n\r\n";
    socket_->write(request.data(), static_cast<qint64>(request.size()));
    socket_->flush();
}

std::size_t endpoint_connection::buffered() const
{
    return input_.capacity() + writer_.buffered() +
           static_cast<std::size_t>(socket_->bytesAvailable() +
                                    socket_->bytesToWrite());
}

void endpoint_connection::resume()
{
    if (std::exchange(paused_, false))
    {
        process();
    }
}

void endpoint_connection::read()
{
    if (phase_ == phase::idle)
    {
        fail("endpoint sent unsolicited bytes");
        return;
    }
    process();
}

// Parses the received bytes until the owner pauses reading.
void endpoint_connection::process()
{
    if (processing_)
    {
        return;
    }
    processing_ = true;
    thread_local std::array<char, read_chunk_size> read_buffer;
    while ((phase_ == phase::busy || phase_ == phase::probing) && !paused_)
    {
        const qint64 got =
            socket_->read(read_buffer.data(), read_buffer.size());
        const std::size_t count = static_cast<std::size_t>(std::max(got, 0LL));
        std::size_t used = 0;
        if (input_.empty())
        {
            const std::string_view view(read_buffer.data(), count);
            if (!parse_once(view, used))
            {
                break;
            }
            input_.assign(view.substr(used));
        }
        else
        {
            std::string joined = std::move(input_);
            input_.clear();
            joined.append(read_buffer.data(), count);
            if (!parse_once(joined, used))
            {
                break;
            }
            input_.assign(joined, used);
        }
        if (count == 0 && used == 0)
        {
            break;
        }
    }
    processing_ = false;
    if (phase_ == phase::busy && head_parsed_)
    {
        handlers_.awaiting_input(*this);
    }
    if (remote_closed_ && !paused_ && phase_ != phase::closed)
    {
        fail("endpoint closed the connection");
    }
}

// Returns false when the message has ended, completely or with an error.
bool endpoint_connection::parse_once(std::string_view input, std::size_t& used)
{
    if (input.empty())
    {
        return true;
    }
    boost::beast::error_code error;
    used = bounded_put_all(*parser_, input, limits_.header_bytes, error);
    if (error && error != http::error::need_more)
    {
        fail("malformed response from the endpoint: " + error.message());
        return false;
    }
    if (!head_parsed_ && parser_->is_header_done())
    {
        if (parser_->get().result_int() < 200)
        {
            // An interim response; the final one follows.
            start_parser(no_body_);
            return true;
        }
        if (!process_head())
        {
            return false;
        }
    }
    if (head_parsed_)
    {
        process_body();
    }
    if (phase_ != phase::busy && phase_ != phase::probing)
    {
        return false;
    }
    if (!parser_->is_done())
    {
        return true;
    }
    complete(used < input.size() || socket_->bytesAvailable() > 0);
    return false;
}

bool endpoint_connection::process_head()
{
    head_parsed_ = true;
    if (phase_ == phase::probing)
    {
        return true;
    }
    // A response that is delimited by the end of the connection cannot be
    // checked for completeness, since a crashing endpoint closes it as well.
    if (parser_->need_eof())
    {
        fail("response has neither Content-Length nor chunked encoding");
        return false;
    }
    handlers_.head(*this, std::move(parser_->get().base()));
    return phase_ == phase::busy;
}

void endpoint_connection::process_body()
{
    if (phase_ != phase::busy)
    {
        return;
    }
    std::string& parsed = parser_->get().body();
    if (!parsed.empty())
    {
        handlers_.body(*this, parsed);
        parsed.clear();
    }
}

void endpoint_connection::complete(bool more_input)
{
    const bool was_probe = phase_ == phase::probing;
    // A connection with bytes after the response is not reused, since they
    // belong to no request.
    reusable_ = parser_->keep_alive() && request_finished_ && !more_input &&
                !remote_closed_;
    const bool healthy = parser_->get().result_int() / 100 == 2;
    release_memory(input_);
    parser_.reset();
    set_phase(phase::idle);
    if (was_probe)
    {
        handlers_.probed(*this, healthy);
        return;
    }
    handlers_.done(*this);
}

void endpoint_connection::fail(const std::string& reason)
{
    const phase ended = phase_;
    if (ended == phase::closed)
    {
        return;
    }
    close();
    if (ended == phase::busy)
    {
        handlers_.response_failed(*this, reason);
        return;
    }
    handlers_.connection_lost(*this, reason);
}

void endpoint_connection::close()
{
    if (phase_ == phase::closed)
    {
        return;
    }
    set_phase(phase::closed);
    socket_->abort();
}

} // namespace hemlockdeal
