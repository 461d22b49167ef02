// A thread with an event loop for one duty of the daemon.
#pragma once

#include <functional>

#include <QAbstractEventDispatcher>
#include <QObject>
#include <QString>
#include <QThread>

namespace hemlockdeal
{

class duty
{
public:
    // Takes `dispatcher` over; Qt's own is used when it is null.
    explicit duty(const QString& name,
                  QAbstractEventDispatcher* dispatcher = nullptr);
    duty(const duty&) = delete;
    duty& operator=(const duty&) = delete;
    // Stops the thread.
    ~duty();

    // Receiver of messages and timers of this thread.
    QObject& context() { return context_; }

    void start();

    // Runs `action` in the thread and waits for its end. Only for start and
    // stop; duties exchange messages by mailboxes.
    void run_and_wait(const std::function<void()>& action);

    void stop();

private:
    QThread thread_;
    QObject context_;
};

} // namespace hemlockdeal
