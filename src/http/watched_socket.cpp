// Implements the non-blocking socket.
#include "http/watched_socket.hpp"

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
// A connection whose bytes are not acknowledged for this long is broken; the
// other side may have lost power or stand behind a partition.
constexpr unsigned user_timeout_ms = 3000;

void set_options(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
               sizeof user_timeout_ms);
}

bool would_block()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ||
           errno == EINPROGRESS || errno == ENOTCONN;
}

} // namespace

watched_socket::watched_socket(int descriptor) : descriptor_(descriptor)
{
    set_options(descriptor);
}

std::unique_ptr<watched_socket>
watched_socket::connect_to(const socket_address& address)
{
    const int descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
    {
        return nullptr;
    }
    auto made = std::make_unique<watched_socket>(descriptor);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr);
    const int started =
        connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof to);
    if (started != 0 && errno != EINPROGRESS)
    {
        return nullptr;
    }
    return made;
}

watched_socket::~watched_socket()
{
    reads_.reset();
    writes_.reset();
    close(descriptor_);
}

void watched_socket::on_readable(callback call)
{
    readable_ = std::move(call);
    reads_ =
        std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Read);
    QObject::connect(reads_.get(), &QSocketNotifier::activated, reads_.get(),
                     [this] { readable_(); });
}

void watched_socket::on_writable(callback call)
{
    writable_ = std::move(call);
    watch_writes(true);
}

void watched_socket::watch_writes(bool on)
{
    if (!writes_ && on)
    {
        writes_ = std::make_unique<QSocketNotifier>(descriptor_,
                                                    QSocketNotifier::Write);
        QObject::connect(writes_.get(), &QSocketNotifier::activated,
                         writes_.get(), [this] {
                             if (writable_)
                             {
                                 writable_();
                             }
                         });
    }
    if (writes_)
    {
        writes_->setEnabled(on);
    }
}

bool watched_socket::receive(std::string& into)
{
    char buffer[receive_buffer];
    while (true)
    {
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

bool watched_socket::send(std::string bytes)
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

bool watched_socket::flush()
{
    while (has_unsent())
    {
        const auto count = ::send(descriptor_, unsent_.data() + sent_,
                                  unsent_.size() - sent_, MSG_NOSIGNAL);
        if (count < 0)
        {
            // A broken connection is ready for ever; nobody waits for that.
            const bool is_broken = !would_block();
            watch_writes(!is_broken);
            return !is_broken;
        }
        has_sent_ = true;
        sent_ += static_cast<std::size_t>(count);
    }
    unsent_.clear();
    sent_ = 0;
    watch_writes(false);
    return true;
}

} // namespace hemlockdeal
