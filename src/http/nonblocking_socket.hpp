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

// Used instead of QTcpSocket, which needs several system calls where this class
// needs one: the VM has only a tenth of a processor core.
class nonblocking_socket
{
public:
    using callback = std::function<void()>;

    // Takes over an accepted descriptor.
    explicit nonblocking_socket(int descriptor);
    // Starts to connect; returns null if the system call fails immediately.
    static std::unique_ptr<nonblocking_socket>
    connect_to(const socket_address& address);
    ~nonblocking_socket();

    nonblocking_socket(const nonblocking_socket&) = delete;
    nonblocking_socket& operator=(const nonblocking_socket&) = delete;

    void on_readable(callback call);
    // Called when the connection is established and when unsent bytes can be
    // written.
    void on_writable(callback call);

    // Appends what has arrived to `into`. False when the other side closed the
    // connection or it broke.
    bool receive(std::string& into);
    // Discards what has arrived and returns the number of bytes; nothing when
    // the other side closed the connection or it broke.
    std::optional<std::size_t> discard();
    // Ends the sending direction; the other side reads an end of stream.
    void shut_down_sending();
    // True if bytes have arrived that receive() would return.
    bool has_unread() const;
    // Sends the bytes and buffers those that the kernel does not accept.
    // Returns false when the connection failed.
    bool send(std::string bytes);
    // Sends buffered bytes; to be called when the socket is writable.
    bool flush();
    // True once a byte has left this VM, so that the other side may have it.
    bool has_sent() const { return has_sent_; }
    bool has_unsent() const { return sent_ < unsent_.size(); }
    // Size of the buffer with the bytes that the kernel has not accepted.
    std::size_t unsent_bytes() const
    {
        return has_unsent() ? unsent_.size() : 0;
    }

private:
    void enable_write_notifier(bool enabled);

    int descriptor_;
    // Send buffer; the bytes from sent_ on have not been accepted by the
    // kernel.
    std::string unsent_;
    std::size_t sent_ = 0;
    bool has_sent_ = false;
    callback readable_callback_;
    callback writable_callback_;
    std::unique_ptr<QSocketNotifier> read_notifier_;
    std::unique_ptr<QSocketNotifier> write_notifier_;
};

} // namespace hemlockdeal
