// Bounds size and time of requests.
#include "operators/limited_listener.hpp"

#include <memory>

#include <QTcpSocket>
#include <QTimer>

#include "observe/logging.hpp"
#include "operators/operator_json.hpp"

namespace hemlockdeal
{

namespace
{

void refuse_too_large(QTcpSocket& socket)
{
    const auto reply = to_http(request_refusal{
        413, {error_code::invalid_input, "the request is too large"}, {}});
    socket.readAll();
    socket.write("HTTP/1.1 413 Payload Too Large\r\n"
                 "Content-Type: application/json\r\n"
                 "Connection: close\r\nContent-Length: " +
                 QByteArray::number(static_cast<qint64>(reply.body.size())) +
                 "\r\n\r\n");
    socket.write(reply.body.data(), static_cast<qint64>(reply.body.size()));
    socket.disconnectFromHost();
}

} // namespace

limited_listener::limited_listener(connection_limits limits) : limits_(limits)
{}

void limited_listener::incomingConnection(qintptr descriptor)
{
    auto socket = std::make_unique<QTcpSocket>();
    if (!socket->setSocketDescriptor(descriptor))
    {
        return;
    }
    if (open_ >= limits_.connections)
    {
        log(log_level::warning, "operators' connection refused: too many",
            {{"limit", std::to_string(limits_.connections)}});
        socket->abort();
        return;
    }
    ++open_;
    watch(socket.get());
    socket->setParent(this);
    addPendingConnection(socket.release());
}

void limited_listener::watch(QTcpSocket* socket)
{
    auto* const timer = new QTimer(socket);
    timer->setSingleShot(true);
    timer->start(limits_.idle);
    connect(timer, &QTimer::timeout, socket, [socket] { socket->abort(); });

    // These run before QHttpServer's own, which are connected later and take
    // the bytes out of the socket.
    auto received = std::make_shared<qint64>(0);
    connect(socket, &QTcpSocket::readyRead, socket, [this, socket, received] {
        *received += socket->bytesAvailable();
        if (*received > limits_.request_bytes)
        {
            refuse_too_large(*socket);
        }
    });
    connect(socket, &QTcpSocket::bytesWritten, timer, [this, timer, received] {
        *received = 0;
        timer->start(limits_.idle);
    });
    connect(socket, &QObject::destroyed, this, [this] { --open_; });
}

} // namespace hemlockdeal
