// Implements the non-blocking socket.
#include "http/nonblocking_socket.hpp"

#include <cerrno>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hemlockdeal
{

namespace
{

constexpr std::size_t receive_buffer = 64ULL * 1024;
constexpr std::size_t max_received_at_once = 4 * receive_buffer;
// Connections with data unacknowledged for this long are closed by the kernel;
// the peer may have lost power or be unreachable because of a network
// partition.
constexpr unsigned user_timeout_ms = 3000;

void set_tcp_options(int descriptor)
{
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
               sizeof user_timeout_ms);
}

bool would_block()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ||
           errno == EINPROGRESS || errno == ENOTCONN;
}

} // namespace

nonblocking_socket::nonblocking_socket(int descriptor) : descriptor_(descriptor)
{
    set_tcp_options(descriptor);
}

std::unique_ptr<nonblocking_socket>
nonblocking_socket::connect_to(const socket_address& address)
{
    const int descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
    {
        return nullptr;
    }
    auto created = std::make_unique<nonblocking_socket>(descriptor);
    sockaddr_in remote{};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &remote.sin_addr);
    const int result = connect(
        descriptor, reinterpret_cast<const sockaddr*>(&remote), sizeof remote);
    if (result != 0 && errno != EINPROGRESS)
    {
        return nullptr;
    }
    return created;
}

nonblocking_socket::~nonblocking_socket()
{
    read_notifier_.reset();
    write_notifier_.reset();
    close(descriptor_);
}

void nonblocking_socket::on_readable(callback call)
{
    readable_callback_ = std::move(call);
    read_notifier_ =
        std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Read);
    QObject::connect(read_notifier_.get(), &QSocketNotifier::activated,
                     read_notifier_.get(), [this] { readable_callback_(); });
}

void nonblocking_socket::on_writable(callback call)
{
    writable_callback_ = std::move(call);
    enable_write_notifier(true);
}

void nonblocking_socket::enable_write_notifier(bool enabled)
{
    if (!write_notifier_ && enabled)
    {
        write_notifier_ = std::make_unique<QSocketNotifier>(
            descriptor_, QSocketNotifier::Write);
        QObject::connect(write_notifier_.get(), &QSocketNotifier::activated,
                         write_notifier_.get(), [this] {
                             if (writable_callback_)
                             {
                                 writable_callback_();
                             }
                         });
    }
    if (write_notifier_)
    {
        write_notifier_->setEnabled(enabled);
    }
}

bool nonblocking_socket::receive(std::string& into)
{
    char buffer[receive_buffer];
    // The rest is received later: a fast sender must neither block the event
    // loop nor exceed the limits of the reader by much.
    const auto end = into.size() + max_received_at_once;
    while (true)
    {
        if (into.size() >= end)
        {
            return true;
        }
        const auto count = recv(descriptor_, buffer, sizeof buffer, 0);
        if (count > 0)
        {
            into.append(buffer, static_cast<std::size_t>(count));
            if (static_cast<std::size_t>(count) == sizeof buffer)
            {
                continue;
            }
            return true;
        }
        return count < 0 && would_block();
    }
}

std::optional<std::size_t> nonblocking_socket::discard()
{
    char buffer[receive_buffer];
    const auto count = recv(descriptor_, buffer, sizeof buffer, 0);
    if (count > 0)
    {
        return static_cast<std::size_t>(count);
    }
    const bool is_open = count < 0 && would_block();
    return is_open ? std::optional<std::size_t>(0) : std::nullopt;
}

void nonblocking_socket::shut_down_sending()
{
    shutdown(descriptor_, SHUT_WR);
}

bool nonblocking_socket::has_unread() const
{
    char byte = 0;
    return recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool nonblocking_socket::send(std::string bytes)
{
    if (has_unsent())
    {
        unsent_.append(bytes);
        return true;
    }
    unsent_ = std::move(bytes);
    sent_ = 0;
    return flush();
}

bool nonblocking_socket::flush()
{
    while (has_unsent())
    {
        const auto count = ::send(descriptor_, unsent_.data() + sent_,
                                  unsent_.size() - sent_, MSG_NOSIGNAL);
        if (count < 0)
        {
            // A broken socket is always writable, so its notifier is disabled
            // to keep the event loop from spinning.
            const bool is_broken = !would_block();
            enable_write_notifier(!is_broken);
            return !is_broken;
        }
        has_sent_ = true;
        sent_ += static_cast<std::size_t>(count);
    }
    unsent_.clear();
    sent_ = 0;
    enable_write_notifier(false);
    return true;
}

} // namespace hemlockdeal
