// TCP listener that limits the resources used by its connections.
#pragma once

#include <chrono>
#include <cstdint>

#include <QElapsedTimer>

#include "http/tcp_listener.hpp"

class QTcpSocket;

namespace hemlockdeal
{

struct connection_limits
{
    int max_connections = 0;
    // Size of one request, including headers.
    std::int64_t max_request_bytes = 0;
    std::chrono::milliseconds idle_timeout{};
};

// QHttpServer buffers a complete request in memory and has no time-out for it.
// This listener closes connections whose request is too large or too slow.
class limited_listener final : public tcp_listener
{
public:
    explicit limited_listener(connection_limits limits);

protected:
    void incomingConnection(qintptr descriptor) override;
    void on_failed_accept() override;

private:
    void enforce_limits(QTcpSocket* socket);

    connection_limits limits_;
    int open_connections_ = 0;
    QElapsedTimer last_failure_log_;
};

} // namespace hemlockdeal
