// TCP listener that limits the resources used by its connections.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>

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
    // Size of the requests of all connections that have no reply yet.
    std::int64_t max_total_bytes = 0;
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
    // Request that arrives or waits for its reply.
    struct unanswered_request
    {
        std::int64_t bytes = 0;
        // Order in which the requests began.
        std::uint64_t number = 0;
    };

    void enforce_limits(QTcpSocket* socket);
    void add_received(QTcpSocket* socket, std::int64_t bytes);
    void forget_request(QTcpSocket* socket);
    // Closes connections until the total is within the limit, beginning with
    // the request that has lasted longest.
    void enforce_total();

    connection_limits limits_;
    int open_connections_ = 0;
    std::map<QTcpSocket*, unanswered_request> requests_;
    // Sum of the bytes in requests_.
    std::int64_t total_bytes_ = 0;
    std::uint64_t last_number_ = 0;
    std::uint64_t closed_for_memory_ = 0;
    QElapsedTimer last_memory_log_;
    QElapsedTimer last_failure_log_;
};

} // namespace hemlockdeal
