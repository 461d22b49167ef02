// A non-blocking TCP socket whose readiness arrives through Qt's event loop.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <QSocketNotifier>

#include "http/socket_address.hpp"

namespace hemlockdeal
{

// Sends and receives without Qt's socket classes: QTcpSocket needs several
// system calls where this one needs one, and each is charged to a VM that has
// a tenth of a core.
class watched_socket
{
public:
    using callback = std::function<void()>;

    // Takes over an accepted descriptor.
    explicit watched_socket(int descriptor);
    // Starts to connect; null if the system refuses at once.
    static std::unique_ptr<watched_socket>
    connect_to(const socket_address& address);
    ~watched_socket();

    watched_socket(const watched_socket&) = delete;
    watched_socket& operator=(const watched_socket&) = delete;

    void on_readable(callback call);
    // Called when the connection stands, and when unsent bytes may go on.
    void on_writable(callback call);

    // Appends what has arrived to `into`. False when the other side closed
    // the connection or it broke.
    bool receive(std::string& into);
    // Sends, and keeps what the kernel does not take. False when the
    // connection broke.
    bool send(std::string bytes);
    // Sends on what was kept; to be called when the socket is writable.
    bool flush();
    // True once a byte has left this VM, so that the other side may have it.
    bool has_sent() const { return has_sent_; }
    bool has_unsent() const { return sent_ < unsent_.size(); }

private:
    void watch_writes(bool on);

    int descriptor_;
    // Bytes from sent_ on have not been taken by the kernel.
    std::string unsent_;
    std::size_t sent_ = 0;
    bool has_sent_ = false;
    callback readable_;
    callback writable_;
    std::unique_ptr<QSocketNotifier> reads_;
    std::unique_ptr<QSocketNotifier> writes_;
};

} // namespace hemlockdeal
