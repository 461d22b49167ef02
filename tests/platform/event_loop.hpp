// Helpers that run the Qt event loop in a test until a condition holds.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <utility>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QTimer>

namespace hemlockdeal::test
{

// The application object that Qt's sockets and timers require.
inline QCoreApplication& application()
{
    static int count = 1;
    static char name[] = "test";
    static char* arguments[] = {name, nullptr};
    static QCoreApplication instance(count, arguments);
    return instance;
}

// Returns false when the condition does not hold within the time.
template <typename Condition>
bool run_until(Condition condition,
               std::chrono::milliseconds time = std::chrono::seconds(10))
{
    application();
    QElapsedTimer clock;
    clock.start();
    // Wakes the loop, so that the time limit also applies when no event occurs.
    QTimer wake;
    wake.start(10);
    while (!condition() && clock.elapsed() < time.count())
    {
        QCoreApplication::processEvents(QEventLoop::AllEvents |
                                        QEventLoop::WaitForMoreEvents);
    }
    return condition();
}

// Calls `start` with a callback and returns the value passed to the callback.
// Throws std::bad_optional_access when it is not called within 10 s.
template <typename T, typename Start>
T await(Start start)
{
    const auto received = std::make_shared<std::optional<T>>();
    start([received](T value) { *received = std::move(value); });
    run_until([&] { return received->has_value(); });
    return std::move(received->value());
}

} // namespace hemlockdeal::test
