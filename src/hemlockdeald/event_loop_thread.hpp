// A thread with a Qt event loop.
#pragma once

#include <functional>

#include <QAbstractEventDispatcher>
#include <QObject>
#include <QString>
#include <QThread>

namespace hemlockdeal
{

class event_loop_thread
{
public:
    // Takes ownership of `dispatcher`; null selects Qt's default dispatcher.
    explicit event_loop_thread(const QString& name,
                               QAbstractEventDispatcher* dispatcher = nullptr);
    event_loop_thread(const event_loop_thread&) = delete;
    event_loop_thread& operator=(const event_loop_thread&) = delete;
    // Stops the thread.
    ~event_loop_thread();

    // Receiver of messages and timers of this thread.
    QObject& context() { return context_; }

    void start();

    // Runs `action` in the thread and waits for its end. Only for start and
    // stop and for reading the status; threads exchange messages through
    // mailboxes. Runs it in the calling thread when this one is not running.
    void run_and_wait(const std::function<void()>& action);

    void stop();

private:
    QThread thread_;
    QObject context_;
};

} // namespace hemlockdeal
