// Listening socket that copes with a lack of file descriptors. Only for
// programs that link Qt's network library.
#pragma once

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <memory>

#include <QHostAddress>
#include <QSocketNotifier>
#include <QTcpServer>
#include <QTimer>
#include <sys/socket.h>

namespace hemlockdeal
{

// QTcpServer repeats a failing accept call without a wait, or pauses for good
// if its first one failed. This class accepts by itself and passes connections
// to incomingConnection(). When a call fails, it waits before the next one;
// connections wait in the kernel's queue meanwhile.
class tcp_listener : public QTcpServer
{
public:
    bool start(const QHostAddress& host, std::uint16_t port)
    {
        if (!listen(host, port))
        {
            return false;
        }
        pauseAccepting();
        notifier_ = std::make_unique<QSocketNotifier>(socketDescriptor(),
                                                      QSocketNotifier::Read);
        QObject::connect(notifier_.get(), &QSocketNotifier::activated, this,
                         [this] { accept_waiting(); });
        return true;
    }

    void stop()
    {
        notifier_.reset();
        close();
    }

    // Number of accept calls that failed, for example for want of descriptors.
    std::uint64_t failed_accepts() const { return failed_accepts_; }

protected:
    virtual void on_failed_accept() {}

private:
    static constexpr std::chrono::milliseconds retry_delay{100};
    // Connections accepted before other events are handled.
    static constexpr int max_accepts = 64;

    void accept_waiting()
    {
        for (int i = 0; i < max_accepts && notifier_; ++i)
        {
            const int descriptor =
                ::accept4(static_cast<int>(socketDescriptor()), nullptr,
                          nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (descriptor < 0)
            {
                handle_failure(errno);
                break;
            }
            incomingConnection(descriptor);
        }
        // nextPendingConnection() ends the pause.
        pauseAccepting();
    }

    void handle_failure(int error)
    {
        const bool is_temporary = error == EAGAIN || error == EWOULDBLOCK ||
                                  error == EINTR || error == ECONNABORTED;
        if (is_temporary)
        {
            return;
        }
        ++failed_accepts_;
        on_failed_accept();
        notifier_->setEnabled(false);
        QTimer::singleShot(retry_delay, this, [this] {
            if (notifier_)
            {
                notifier_->setEnabled(true);
            }
        });
    }

    std::unique_ptr<QSocketNotifier> notifier_;
    std::uint64_t failed_accepts_ = 0;
};

} // namespace hemlockdeal
