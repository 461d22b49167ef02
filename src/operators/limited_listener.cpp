// Limits on the number of connections and on request size and duration.
#include "operators/limited_listener.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include <QTcpSocket>
#include <QTimer>
#include <unistd.h>

#include "observe/logging.hpp"
#include "operators/operator_json.hpp"

namespace hemlockdeal
{

namespace
{

constexpr qint64 failure_log_interval_ms = 1000;

void reject_oversized_request(QTcpSocket& socket)
{
    const auto reply = to_http(request_refusal{
        413,
        {error_code::invalid_input, "request exceeds the size limit"},
        {}});
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
        ::close(static_cast<int>(descriptor));
        return;
    }
    if (open_connections_ >= limits_.max_connections)
    {
        log(log_level::warning,
            "operator API connection refused: too many connections",
            {{"limit", std::to_string(limits_.max_connections)}});
        socket->abort();
        return;
    }
    ++open_connections_;
    enforce_limits(socket.get());
    socket->setParent(this);
    addPendingConnection(socket.release());
}

void limited_listener::on_failed_accept()
{
    if (last_failure_log_.isValid() &&
        !last_failure_log_.hasExpired(failure_log_interval_ms))
    {
        return;
    }
    last_failure_log_.start();
    log(log_level::warning, "operator API cannot accept connections",
        {{"failures", std::to_string(failed_accepts())}});
}

void limited_listener::enforce_limits(QTcpSocket* socket)
{
    auto* const timer = new QTimer(socket);
    timer->setSingleShot(true);
    timer->start(limits_.idle_timeout);
    connect(timer, &QTimer::timeout, socket, [socket] { socket->abort(); });

    // QHttpServer connects its slots later and drains the socket, so these
    // run first and still see the received bytes.
    connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
        add_received(socket, socket->bytesAvailable());
        if (requests_[socket].bytes > limits_.max_request_bytes)
        {
            reject_oversized_request(*socket);
        }
        enforce_total();
    });
    connect(socket, &QTcpSocket::bytesWritten, timer, [this, socket, timer] {
        forget_request(socket);
        timer->start(limits_.idle_timeout);
    });
    connect(socket, &QTcpSocket::disconnected, this,
            [this, socket] { forget_request(socket); });
    connect(socket, &QObject::destroyed, this, [this, socket] {
        --open_connections_;
        forget_request(socket);
    });
}

void limited_listener::add_received(QTcpSocket* socket, std::int64_t bytes)
{
    auto& request = requests_[socket];
    if (request.number == 0)
    {
        request.number = ++last_number_;
    }
    request.bytes += bytes;
    total_bytes_ += bytes;
}

void limited_listener::forget_request(QTcpSocket* socket)
{
    const auto found = requests_.find(socket);
    if (found == requests_.end())
    {
        return;
    }
    total_bytes_ -= found->second.bytes;
    requests_.erase(found);
}

void limited_listener::enforce_total()
{
    while (total_bytes_ > limits_.max_total_bytes)
    {
        const auto oldest =
            std::ranges::min_element(requests_, {}, [](const auto& entry) {
                return entry.second.number;
            });
        auto* const socket = oldest->first;
        forget_request(socket);
        socket->abort();
        ++closed_for_memory_;
    }
    if (closed_for_memory_ > 0 &&
        (!last_memory_log_.isValid() ||
         last_memory_log_.hasExpired(failure_log_interval_ms)))
    {
        log(log_level::warning,
            "operator API connections closed for want of memory",
            {{"count", std::to_string(std::exchange(closed_for_memory_, 0))},
             {"limit", std::to_string(limits_.max_total_bytes)}});
        last_memory_log_.start();
    }
}

} // namespace hemlockdeal
