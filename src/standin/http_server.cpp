// A small HTTP/1.1 server that can also drop, hold or cut off an answer.
#include "standin/http_server.hpp"

#include <optional>
#include <stdexcept>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include <QHostAddress>
#include <QTcpSocket>
#include <QUrl>
#include <QUrlQuery>

namespace hemlockdeal
{

namespace http = boost::beast::http;

constexpr std::uint64_t body_limit = 32U << 20U;

// Lives as long as its socket, which holds it in the connected functions.
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    http_connection(QTcpSocket* socket, const http_server::handler& serve,
                    std::uint64_t& received, std::uint64_t& sent)
        : socket_(socket), serve_(serve), received_(received), sent_(sent)
    {}

    void read();
    void send(const http_reply& reply, bool cut_off);
    void close();
    void silence() { silent_ = true; }
    std::chrono::steady_clock::time_point opened_at() const
    {
        return opened_at_;
    }

private:
    void serve_complete_requests();
    bool parse_request();

    QTcpSocket* socket_;
    const http_server::handler& serve_;
    std::uint64_t& received_;
    std::uint64_t& sent_;
    std::string input_; // received and not yet parsed
    std::optional<http::request_parser<http::string_body>> parser_;
    bool waiting_ = false; // a request has no answer yet
    bool serving_ = false; // serve_complete_requests() is running
    bool silent_ = false;
    std::chrono::steady_clock::time_point opened_at_ =
        std::chrono::steady_clock::now();
};

void http_connection::read()
{
    const auto bytes = socket_->readAll();
    received_ += static_cast<std::uint64_t>(bytes.size());
    if (silent_)
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
        parser_->body_limit(body_limit);
    }
    while (!input_.empty() && !parser_->is_done())
    {
        boost::beast::error_code fault;
        const auto used = parser_->put(boost::asio::buffer(input_), fault);
        input_.erase(0, used);
        if (fault == http::error::need_more)
        {
            return false;
        }
        if (fault)
        {
            close();
            return false;
        }
    }
    return parser_->is_done();
}

void http_connection::serve_complete_requests()
{
    if (serving_)
    {
        return;
    }
    const auto self = shared_from_this(); // the handler may close the socket
    serving_ = true;
    while (!waiting_ && !silent_ && parse_request())
    {
        const auto message = parser_->release();
        parser_.reset();
        waiting_ = true;
        serve_({std::string(message.method_string()),
                std::string(message.target()), message.body()},
               http_exchange(self));
    }
    serving_ = false;
}

void http_connection::send(const http_reply& reply, bool cut_off)
{
    if (!waiting_ || silent_)
    {
        return;
    }
    const auto reason = http::obsolete_reason(
        http::int_to_status(static_cast<unsigned>(reply.status)));
    auto text = "HTTP/1.1 " + std::to_string(reply.status) + ' ' +
                std::string(reason) +
                "\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
    if (cut_off)
    {
        text.resize(text.size() - reply.body.size() / 2);
    }
    sent_ += text.size();
    socket_->write(text.data(), static_cast<qint64>(text.size()));
    waiting_ = false;
    if (cut_off)
    {
        socket_->disconnectFromHost();
        return;
    }
    serve_complete_requests();
}

void http_connection::close()
{
    silent_ = true;
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

void http_exchange::answer_cut_off(const http_reply& reply) const
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

void http_exchange::silence() const
{
    if (const auto connection = connection_.lock())
    {
        connection->silence();
    }
}

bool http_exchange::opened_before(
    std::chrono::steady_clock::time_point time) const
{
    const auto connection = connection_.lock();
    return connection && connection->opened_at() < time;
}

http_server::http_server(std::uint16_t port, handler serve)
    : serve_(std::move(serve))
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
            socket, serve_, bytes_received_, bytes_sent_);
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
