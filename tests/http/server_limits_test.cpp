// Tests of what the HTTP server does with clients that exceed its limits.
#include <algorithm>
#include <string>

#include <gtest/gtest.h>

#include "http/http.hpp"
#include "http/nonblocking_socket.hpp"
#include "loopback.hpp"

using namespace hemlockdeal;
using std::chrono::milliseconds;

namespace
{

const std::string chunked_head =
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

http_service ok_service()
{
    return [](const http_request&, const http_responder& responder) {
        responder({200, {}, {}});
    };
}

// A client that sends bytes and keeps what it receives.
class raw_client
{
public:
    raw_client(const socket_address& address, std::string bytes)
        : socket_(nonblocking_socket::connect_to(address))
    {
        socket_->on_readable(
            [this] { is_open_ = is_open_ && socket_->receive(received_); });
        socket_->on_writable([this] { socket_->flush(); });
        socket_->send(std::move(bytes));
    }

    void send(std::string bytes) { socket_->send(std::move(bytes)); }
    const std::string& received() const { return received_; }
    bool is_open() const { return is_open_; }

private:
    std::unique_ptr<nonblocking_socket> socket_;
    std::string received_;
    bool is_open_ = true;
};

} // namespace

// Failure: trailers, a chunk extension or a chunk size without end fill the
// memory while the request is incomplete.
TEST(server_limits, framing_without_end_is_refused)
{
    const auto address = test_address();
    http_server server(address, {}, ok_service());
    const std::string much(40'000, '0');
    for (const auto& framing : {"0\r\na: " + much, "5;" + much, much})
    {
        raw_client client(address, chunked_head + framing);
        EXPECT_TRUE(run_until([&] {
            return client.received().starts_with("HTTP/1.1 400");
        })) << framing.substr(0, 10);
        EXPECT_TRUE(run_until([&] { return !client.is_open(); }));
    }
    EXPECT_EQ(server.refusals().of(refusal::framing_too_large), 3U);
}

// Failure: a chunked request with an extension and trailers inside the limits
// is refused.
TEST(server_limits, small_extensions_and_trailers_are_served)
{
    const auto address = test_address();
    http_server server(address, {}, ok_service());
    raw_client client(address, chunked_head + "5;name=value\r\nhello\r\n"
                                              "0\r\nChecksum: 1\r\n\r\n");
    EXPECT_TRUE(run_until(
        [&] { return client.received().starts_with("HTTP/1.1 200"); }));
}
