// Tests of what the HTTP server does with clients that exceed its limits.
#include <cerrno>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

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

int connect_blocking(const socket_address& address)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in remote{};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &remote.sin_addr);
    EXPECT_EQ(connect(descriptor, reinterpret_cast<const sockaddr*>(&remote),
                      sizeof remote),
              0);
    return descriptor;
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

// Failure: a client that sends its whole request first has its connection reset
// instead of receiving the refusal.
TEST(server_limits, refusal_reaches_a_client_that_sends_first)
{
    const auto address = test_address();
    http_server server(address, {}, ok_service());
    constexpr std::size_t length = 900'000;
    const auto request =
        "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(length) +
        "\r\n\r\n" + std::string(length, 'x');
    const int client = connect_blocking(address);
    std::size_t sent = 0;
    EXPECT_TRUE(run_until([&] {
        const auto count =
            send(client, request.data() + sent, request.size() - sent,
                 MSG_NOSIGNAL | MSG_DONTWAIT);
        sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        return sent == request.size();
    }));
    std::string received;
    std::optional<ssize_t> end;
    EXPECT_TRUE(run_until([&] {
        std::string part(1000, '\0');
        const auto count = recv(client, part.data(), part.size(), MSG_DONTWAIT);
        if (count > 0)
        {
            received += part.substr(0, static_cast<std::size_t>(count));
        }
        else if (count == 0 || errno != EAGAIN)
        {
            end = end.value_or(count);
        }
        return end.has_value();
    }));
    EXPECT_TRUE(received.starts_with("HTTP/1.1 413")) << received;
    EXPECT_EQ(end, 0) << "the connection was reset";
    close(client);
}

// Failure: a refused client that goes on sending, or that keeps its connection
// open, is never disconnected.
TEST(server_limits, refused_client_is_disconnected)
{
    const auto address = test_address();
    http_server_limits limits;
    limits.linger_time = milliseconds(100);
    http_server server(address, limits, ok_service());
    raw_client silent(address, "malformed\r\n\r\n");
    raw_client loud(address, "malformed\r\n\r\n" +
                                 std::string(3 * limits.linger_bytes, 'x'));
    EXPECT_TRUE(run_until(
        [&] { return server.refusals().of(refusal::malformed) == 2; }));
    EXPECT_TRUE(run_until([&] { return server.connections() == 1; }));
    EXPECT_TRUE(run_until([&] {
        server.expire(boot_now());
        return server.connections() == 0;
    }));
}

// Failure: a client that sends requests and never reads the answers fills the
// memory with them.
TEST(server_limits, unread_answers_end_the_requests_of_a_connection)
{
    const auto address = test_address();
    constexpr std::size_t answer_bytes = 100'000;
    std::size_t served = 0;
    http_server server(address, {},
                       [&](const http_request&, const http_responder& r) {
                           ++served;
                           r({200, {}, std::string(answer_bytes, 'x')});
                       });
    const int client = connect_blocking(address);
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    for (std::size_t i = 0; i < 200; ++i)
    {
        send(client, request.data(), request.size(),
             MSG_NOSIGNAL | MSG_DONTWAIT);
        run_until([&] { return served > i; }, 2);
    }
    // What the kernel may buffer between both sides.
    constexpr std::size_t kernel_bytes = 16'000'000;
    EXPECT_LT(served * answer_bytes, kernel_bytes);
    close(client);
}

// Failure: an answer that the client reads late delays the next request for
// ever.
TEST(server_limits, pipelined_requests_are_answered_once_the_client_reads)
{
    const auto address = test_address();
    constexpr std::size_t answer_bytes = 4'000'000;
    http_server server(address, {},
                       [&](const http_request&, const http_responder& r) {
                           r({200, {}, std::string(answer_bytes, 'x')});
                       });
    const int client = connect_blocking(address);
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const auto requests = request + request + request;
    send(client, requests.data(), requests.size(), MSG_NOSIGNAL);
    for (int i = 0; i < 20; ++i)
    {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    }
    std::size_t received = 0;
    EXPECT_TRUE(run_until([&] {
        std::string part(100'000, '\0');
        const auto count = recv(client, part.data(), part.size(), MSG_DONTWAIT);
        received += count > 0 ? static_cast<std::size_t>(count) : 0;
        return received > 3 * answer_bytes;
    }));
    close(client);
}

// Failure: incomplete requests on several servers fill the memory together, and
// new requests are refused because of them.
TEST(server_limits, oldest_incomplete_request_is_refused_for_memory)
{
    constexpr std::size_t max_bytes = 100'000;
    const auto budget = std::make_shared<connection_budget>(
        connection_budget_limits{max_bytes});
    const auto first = test_address();
    const auto second = test_address();
    http_server callers(first, {}, ok_service(), budget);
    http_server others(second, {}, ok_service(), budget);
    const auto incomplete = "POST / HTTP/1.1\r\nContent-Length: 60001\r\n\r\n" +
                            std::string(60'000, 'x');
    raw_client oldest(first, incomplete);
    EXPECT_TRUE(run_until([&] { return budget->bytes() >= 60'000; }));
    raw_client newest(second, incomplete);
    EXPECT_TRUE(run_until(
        [&] { return oldest.received().starts_with("HTTP/1.1 503"); }));
    EXPECT_NE(oldest.received().find("Retry-After: 1"), std::string::npos);
    EXPECT_LE(budget->bytes(), max_bytes);
    newest.send("y");
    EXPECT_TRUE(run_until(
        [&] { return newest.received().starts_with("HTTP/1.1 200"); }));
    EXPECT_EQ(callers.refusals().of(refusal::memory), 1U);
    EXPECT_TRUE(run_until([&] { return budget->bytes() == 0; }));
}

// Failure: a caller is not served, because connections of clients that send
// nothing are as many as the limit.
TEST(server_limits, silent_connections_make_room_for_a_caller)
{
    constexpr std::size_t max_connections = 3;
    const auto budget = std::make_shared<connection_budget>(
        connection_budget_limits{100'000, max_connections});
    const auto address = test_address();
    http_server server(address, {}, ok_service(), budget);
    const raw_client first(address, "");
    const raw_client second(address, "P");
    const raw_client third(address, "");
    EXPECT_TRUE(run_until([&] { return server.connections() == 3; }));
    const raw_client caller(address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE(run_until(
        [&] { return caller.received().starts_with("HTTP/1.1 200"); }));
    EXPECT_TRUE(run_until([&] { return !first.is_open(); }));
    EXPECT_TRUE(second.is_open());
    EXPECT_EQ(server.connections(), max_connections);
    EXPECT_EQ(server.refusals().of(refusal::connections), 1U);
}

// Failure: a connection beyond the limit is closed without a word while all
// others are served.
TEST(server_limits, connection_beyond_those_in_service_is_told)
{
    const auto budget = std::make_shared<connection_budget>(
        connection_budget_limits{100'000, 1});
    const auto address = test_address();
    std::vector<http_responder> waiting;
    http_server server(
        address, {},
        [&](const http_request&, const http_responder& r) {
            waiting.push_back(r);
        },
        budget);
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const raw_client served(address, request);
    EXPECT_TRUE(run_until([&] { return waiting.size() == 1; }));
    const raw_client refused(address, request);
    EXPECT_TRUE(run_until(
        [&] { return refused.received().starts_with("HTTP/1.1 503"); }));
    waiting.front()({200, {}, {}});
    EXPECT_TRUE(run_until(
        [&] { return served.received().starts_with("HTTP/1.1 200"); }));
    EXPECT_EQ(waiting.size(), 1U);
}

// Failure: a process without free descriptors spends its processor time on
// failing to accept.
TEST(server_limits, accepting_pauses_without_descriptors)
{
    const auto address = test_address();
    http_server server(address, {}, ok_service());
    const raw_client client(address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    const int next = dup(0);
    close(next);
    const rlimit none{static_cast<rlim_t>(next), before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &none);
    constexpr int watched_ms = 300;
    run_until([] { return false; }, watched_ms);
    setrlimit(RLIMIT_NOFILE, &before);
    const auto failures = server.refusals().of(refusal::descriptors);
    EXPECT_GE(failures, 1U);
    EXPECT_LE(failures, 10U);
    EXPECT_TRUE(run_until(
        [&] { return client.received().starts_with("HTTP/1.1 200"); }));
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
