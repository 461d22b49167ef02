// Implements the HTTP server with QTcpServer and Boost.Beast's parser.
#include "standin/http_server.hpp"

#include <optional>
#include <stdexcept>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>
#include <QUrl>
#include <QUrlQuery>

namespace hemlockdeal
{

namespace http = boost::beast::http;

constexpr std::uint64_t max_body_bytes = 32U << 20U;

namespace
{

std::string to_bytes(const http_reply& reply)
{
    const auto reason = http::obsolete_reason(
        http::int_to_status(static_cast<unsigned>(reply.status)));
    return "HTTP/1.1 " + std::to_string(reply.status) + ' ' +
           std::string(reason) +
           "\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
}

} // namespace

// Owned by the slots that are connected to its socket, so it is destroyed
// together with the socket.
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    http_connection(QTcpSocket* socket,
                    const http_server::handler& request_handler,
                    std::uint64_t& received, std::uint64_t& sent)
        : socket_(socket), request_handler_(request_handler),
          received_(received), sent_(sent)
    {}

    void read();
    void send(const http_reply& reply, bool truncated);
    void send_slowly(const http_reply& reply,
                     const std::shared_ptr<transfer_rate>& rate);
    void close();
    void ignore_input() { ignores_input_ = true; }
    std::chrono::steady_clock::time_point opened_at() const
    {
        return opened_at_;
    }

private:
    void serve_complete_requests();
    bool parse_request();
    void send_piece(const std::shared_ptr<transfer_rate>& rate);
    void on_sent();

    QTcpSocket* socket_;
    const http_server::handler& request_handler_;
    std::uint64_t& received_;
    std::uint64_t& sent_;
    std::string input_;  // received, not yet parsed
    std::string output_; // of a response that is sent in pieces
    std::optional<http::request_parser<http::string_body>> parser_;
    bool awaits_response_ = false; // a request is being handled
    bool is_serving_ = false;      // serve_complete_requests() is running
    bool ignores_input_ = false;
    std::chrono::steady_clock::time_point opened_at_ =
        std::chrono::steady_clock::now();
};

void http_connection::read()
{
    const auto bytes = socket_->readAll();
    received_ += static_cast<std::uint64_t>(bytes.size());
    if (ignores_input_)
    {
        return;
    }
    input_.append(bytes.constData(), static_cast<std::size_t>(bytes.size()));
    serve_complete_requests();
}

// True when parser_ holds a complete request.
bool http_connection::parse_request()
{
    if (!parser_)
    {
        parser_.emplace();
        parser_->eager(true);
        parser_->body_limit(max_body_bytes);
    }
    while (!input_.empty() && !parser_->is_done())
    {
        boost::beast::error_code error;
        const auto consumed = parser_->put(boost::asio::buffer(input_), error);
        input_.erase(0, consumed);
        if (error == http::error::need_more)
        {
            return false;
        }
        if (error)
        {
            close();
            return false;
        }
    }
    return parser_->is_done();
}

void http_connection::serve_complete_requests()
{
    if (is_serving_)
    {
        return;
    }
    const auto self = shared_from_this(); // the handler may destroy this
    is_serving_ = true;
    while (!awaits_response_ && !ignores_input_ && parse_request())
    {
        const auto message = parser_->release();
        parser_.reset();
        awaits_response_ = true;
        request_handler_({std::string(message.method_string()),
                          std::string(message.target()), message.body()},
                         http_exchange(self));
    }
    is_serving_ = false;
}

void http_connection::send(const http_reply& reply, bool truncated)
{
    if (!awaits_response_ || ignores_input_)
    {
        return;
    }
    auto text = to_bytes(reply);
    if (truncated)
    {
        text.resize(text.size() - reply.body.size() / 2);
    }
    sent_ += text.size();
    socket_->write(text.data(), static_cast<qint64>(text.size()));
    if (truncated)
    {
        awaits_response_ = false;
        socket_->disconnectFromHost();
        return;
    }
    on_sent();
}

void http_connection::send_slowly(const http_reply& reply,
                                  const std::shared_ptr<transfer_rate>& rate)
{
    if (!awaits_response_ || ignores_input_ || !output_.empty())
    {
        return;
    }
    output_ = to_bytes(reply);
    sent_ += output_.size();
    send_piece(rate);
}

void http_connection::send_piece(const std::shared_ptr<transfer_rate>& rate)
{
    if (ignores_input_)
    {
        return;
    }
    const auto size = rate->next_piece(output_.size());
    socket_->write(output_.data(), static_cast<qint64>(size));
    output_.erase(0, size);
    const auto wait = rate->add(size, std::chrono::steady_clock::now());
    QTimer::singleShot(wait, socket_, [self = shared_from_this(), rate] {
        if (self->output_.empty())
        {
            self->on_sent();
            return;
        }
        self->send_piece(rate);
    });
}

void http_connection::on_sent()
{
    awaits_response_ = false;
    serve_complete_requests();
}

void http_connection::close()
{
    ignores_input_ = true;
    socket_->disconnectFromHost();
}

http_exchange::http_exchange(std::weak_ptr<http_connection> connection)
    : connection_(std::move(connection))
{}

void http_exchange::answer(const http_reply& reply) const
{
    if (const auto connection = connection_.lock())
    {
        connection->send(reply, false);
    }
}

void http_exchange::answer_slowly(
    const http_reply& reply, const std::shared_ptr<transfer_rate>& rate) const
{
    if (const auto connection = connection_.lock())
    {
        connection->send_slowly(reply, rate);
    }
}

void http_exchange::answer_truncated(const http_reply& reply) const
{
    if (const auto connection = connection_.lock())
    {
        connection->send(reply, true);
    }
}

void http_exchange::close() const
{
    if (const auto connection = connection_.lock())
    {
        connection->close();
    }
}

void http_exchange::ignore_input() const
{
    if (const auto connection = connection_.lock())
    {
        connection->ignore_input();
    }
}

bool http_exchange::opened_before(
    std::chrono::steady_clock::time_point time) const
{
    const auto connection = connection_.lock();
    return connection && connection->opened_at() < time;
}

http_server::http_server(std::uint16_t port, handler request_handler)
    : request_handler_(std::move(request_handler))
{
    QObject::connect(&server_, &QTcpServer::newConnection,
                     [this] { accept(); });
    if (!server_.listen(QHostAddress::LocalHost, port))
    {
        throw std::runtime_error("cannot listen on port " +
                                 std::to_string(port) + ": " +
                                 server_.errorString().toStdString());
    }
}

std::string http_server::address() const
{
    return "127.0.0.1:" + std::to_string(port());
}

void http_server::accept()
{
    while (auto* socket = server_.nextPendingConnection())
    {
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        const auto connection = std::make_shared<http_connection>(
            socket, request_handler_, bytes_received_, bytes_sent_);
        QObject::connect(socket, &QTcpSocket::readyRead,
                         [connection] { connection->read(); });
        QObject::connect(socket, &QTcpSocket::disconnected, socket,
                         &QObject::deleteLater);
    }
}

std::string query_item(const std::string& target, const char* name)
{
    const QUrlQuery query(QUrl(QString::fromStdString(target)));
    return query.queryItemValue(name, QUrl::FullyDecoded).toStdString();
}

std::string path_of(const std::string& target)
{
    return target.substr(0, target.find('?'));
}

} // namespace hemlockdeal
