// Socket options that QAbstractSocket does not support, and the monotonic clock
// of the proxy's thread.
#pragma once

#include <QTcpSocket>

#include "core/core.hpp"

namespace hemlockdeal
{

time_point monotonic_now();

// Sets TCP_NODELAY, TCP keep-alive and TCP_USER_TIMEOUT (3 s), so that the
// kernel reports a dead connection within seconds.
void set_connection_options(QTcpSocket& socket);

// Makes the next close reset the connection, so that the peer cannot take what
// it received for a complete message.
void reset_on_close(QTcpSocket& socket);

// True if the connection is open and has no unread input.
bool is_open_without_input(const QTcpSocket& socket);

} // namespace hemlockdeal
