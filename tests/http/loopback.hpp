// Helpers for tests over loopback connections.
#pragma once

#include <cstdint>
#include <functional>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <unistd.h>

#include "http/socket_address.hpp"

namespace hemlockdeal
{

// Ports below the ephemeral range, which the system uses for outgoing
// connections.
inline socket_address test_address()
{
    static std::uint16_t next =
        static_cast<std::uint16_t>(21000 + getpid() % 8000);
    return {"127.0.0.1", ++next};
}

inline bool run_until(const std::function<bool()>& done, int timeout_ms = 3000)
{
    QElapsedTimer timer;
    timer.start();
    while (!done() && timer.elapsed() < timeout_ms)
    {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    }
    return done();
}

} // namespace hemlockdeal
