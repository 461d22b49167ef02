// TCP listener that bounds what a connection may take up.
#pragma once

#include <chrono>
#include <cstdint>

#include <QTcpServer>

class QTcpSocket;

namespace hemlockdeal
{

struct connection_limits
{
    int connections = 0;
    // Bytes received for one request, headers included.
    std::int64_t request_bytes = 0;
    std::chrono::milliseconds idle{};
};

// QHttpServer buffers a request as a whole and waits for it without a limit;
// this listener closes connections whose request is too large or too slow.
class limited_listener final : public QTcpServer
{
public:
    explicit limited_listener(connection_limits limits);

protected:
    void incomingConnection(qintptr descriptor) override;

private:
    void watch(QTcpSocket* socket);

    connection_limits limits_;
    int open_ = 0;
};

} // namespace hemlockdeal
