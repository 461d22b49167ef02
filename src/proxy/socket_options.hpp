// Socket options that QAbstractSocket does not offer, and the monotonic time
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

// Makes the next close reset the connection, so that the other side cannot
// take what it received for a complete message.
void reset_on_close(QTcpSocket& socket);

// True when the other side has neither closed the connection nor sent bytes
// that were not read yet.
bool is_quiet(const QTcpSocket& socket);

} // namespace hemlockdeal
