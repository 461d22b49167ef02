// Tests of the HTTP client with responses whose framing never ends.
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <variant>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http.hpp"

using namespace hemlockdeal;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t sent_bytes = 8'000'000;
// The header limit of a response, and what the client reads at once.
constexpr std::size_t received_bound = 512ULL * 1024;

// Responds to the first request on its only connection with a head and a piece
// that is repeated until the client closes the connection.
class endless_server
{
public:
    endless_server(std::string head, std::string piece)
        : head_(std::move(head)), piece_(std::move(piece)),
          listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in local{};
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof local;
        EXPECT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&local), size),
                  0);
        EXPECT_EQ(listen(listener_, 1), 0);
        EXPECT_EQ(
            getsockname(listener_, reinterpret_cast<sockaddr*>(&local), &size),
            0);
        port_ = ntohs(local.sin_port);
        thread_ = std::thread([this] { serve(); });
    }

    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    ~endless_server()
    {
        shutdown(listener_, SHUT_RDWR);
        thread_.join();
        close(listener_);
    }

    socket_address address() const { return {"127.0.0.1", port_}; }

private:
    void serve()
    {
        const int connection = accept(listener_, nullptr, nullptr);
        char request[4096];
        if (connection < 0 || recv(connection, request, sizeof request, 0) <= 0)
        {
            return;
        }
        std::string bytes = head_;
        while (!piece_.empty() && bytes.size() < sent_bytes)
        {
            bytes += piece_;
        }
        std::size_t sent = 0;
        while (sent < bytes.size())
        {
            const auto count = send(connection, bytes.data() + sent,
                                    bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
            {
                break;
            }
            sent += static_cast<std::size_t>(count);
        }
        // Waits until the client closes the connection.
        while (recv(connection, request, sizeof request, 0) > 0)
        {}
        close(connection);
    }

    std::string head_;
    std::string piece_;
    int listener_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

struct outcome
{
    std::optional<call_result> result;
    std::size_t received = 0;
};

outcome call(const socket_address& address)
{
    outcome out;
    http_client client(address, {1, 1}, [&](const call_record& record) {
        out.received = record.received;
    });
    client.send({"GET", "/", {}, {}, {}}, milliseconds(5000),
                [&](call_result result) { out.result = std::move(result); });
    QElapsedTimer timer;
    timer.start();
    while (!out.result && timer.elapsed() < 5000)
    {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
        client.expire(boot_now());
    }
    if (!out.result)
    {
        client.reset("test ends");
    }
    return out;
}

const std::string chunked_head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

void expect_bounded_failure(const std::string& head, const std::string& piece)
{
    endless_server server(head, piece);
    const auto out = call(server.address());
    EXPECT_LE(out.received, received_bound);
    ASSERT_TRUE(out.result);
    const auto* const failure = std::get_if<call_failure>(&*out.result);
    ASSERT_NE(failure, nullptr);
    EXPECT_TRUE(failure->maybe_executed);
}

} // namespace

// Failure of these tests: a response fills the memory of the client.
TEST(endless_response, trailer_fields_are_bounded)
{
    expect_bounded_failure(chunked_head + "2\r\nok\r\n0\r\n", "X-A: b\r\n");
}

TEST(endless_response, trailer_line_is_bounded)
{
    expect_bounded_failure(chunked_head + "2\r\nok\r\n0\r\nX-A: ", "b");
}

TEST(endless_response, chunk_extension_is_bounded)
{
    expect_bounded_failure(chunked_head + "2;a=", "b");
}

TEST(endless_response, chunk_size_is_bounded)
{
    expect_bounded_failure(chunked_head, "0");
}

TEST(endless_response, header_line_is_bounded)
{
    expect_bounded_failure("HTTP/1.1 200 OK\r\nX-A: ", "b");
}

// Failure: trailers over the limit are accepted if they arrive at once.
TEST(endless_response, complete_trailers_over_the_limit_are_refused)
{
    const std::string trailers = "X-A: " + std::string(20'000, 'b') + "\r\n";
    expect_bounded_failure(
        chunked_head + "2\r\nok\r\n0\r\n" + trailers + "\r\n", "");
}

// Failure: trailers or chunk extensions within the limit fail the call.
TEST(endless_response, short_trailers_and_extensions_are_accepted)
{
    const std::string extension = ";a=" + std::string(8000, 'b');
    endless_server server(
        chunked_head + "2" + extension + "\r\nok\r\n40000\r\n" +
            std::string(0x40000, 'x') +
            "\r\n0\r\nX-A: " + std::string(8000, 'b') + "\r\n\r\n",
        "");
    const auto out = call(server.address());
    ASSERT_TRUE(out.result);
    const auto* const response = std::get_if<http_response>(&*out.result);
    ASSERT_NE(response, nullptr);
    EXPECT_EQ(response->body, "ok" + std::string(0x40000, 'x'));
}
