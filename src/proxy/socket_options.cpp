// Implements the socket options with setsockopt on the socket descriptor.
#include "proxy/socket_options.hpp"

#include <chrono>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace hemlockdeal
{

namespace
{

constexpr int user_timeout_ms = 3000;
constexpr int keep_alive_idle_s = 1;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 3;

void set(int descriptor, int level, int option, int value)
{
    ::setsockopt(descriptor, level, option, &value, sizeof value);
}

} // namespace

time_point monotonic_now()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(now));
}

void set_connection_options(QTcpSocket& socket)
{
    const int descriptor = static_cast<int>(socket.socketDescriptor());
    set(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle_s);
    set(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_s);
    set(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
    set(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms);
}

void reset_on_close(QTcpSocket& socket)
{
    const linger reset{1, 0};
    ::setsockopt(static_cast<int>(socket.socketDescriptor()), SOL_SOCKET,
                 SO_LINGER, &reset, sizeof reset);
}

bool is_open_without_input(const QTcpSocket& socket)
{
    if (socket.state() != QAbstractSocket::ConnectedState ||
        socket.bytesAvailable() > 0)
    {
        return false;
    }
    char byte = 0;
    const auto received = ::recv(static_cast<int>(socket.socketDescriptor()),
                                 &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace hemlockdeal
