// Tests of the HTTP client and server: matching of responses to calls,
// unresponsive connections, and request limits.
#include <cstdlib>
#include <functional>
#include <optional>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTimer>
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http.hpp"
#include "http/nonblocking_socket.hpp"
#include "loopback.hpp"

using namespace hemlockdeal;
using std::chrono::milliseconds;

namespace
{

std::string body_of(const call_result& result)
{
    const auto* const response = std::get_if<http_response>(&result);
    return response == nullptr ? "failed" : response->body;
}

} // namespace

// Failure: with several calls in flight, a response is passed to the wrong
// call.
TEST(http, responses_match_their_calls)
{
    const auto address = test_address();
    http_server server(
        address, {},
        [](const http_request& request, const http_responder& responder) {
            // Responds in a different order from that of the requests.
            const int delay = 20 - static_cast<int>(request.body.size());
            QTimer::singleShot(delay, [responder, body = request.body] {
                responder({200, {}, body});
            });
        });
    http_client client(address, {4, 3});
    int matched = 0;
    constexpr int calls = 18;
    for (int i = 1; i <= calls; ++i)
    {
        const std::string body(static_cast<std::size_t>(i), 'x');
        client.send({"POST", "/", {}, {}, body}, milliseconds(2000),
                    [&matched, body](const call_result& result) {
                        matched += body_of(result) == body ? 1 : 0;
                    });
    }
    EXPECT_TRUE(run_until([&] { return matched == calls; }));
    EXPECT_LE(client.connections_opened(), 4U);
}

// Failure: a call on an unresponsive connection never ends, or the next call
// uses the same connection.
TEST(http, silent_connection_is_replaced)
{
    const auto address = test_address();
    int requests = 0;
    http_server server(
        address, {}, [&](const http_request&, const http_responder& responder) {
            if (++requests > 1)
            {
                responder({200, {}, "late"});
            }
        });
    http_client client(address, {1, 1});
    std::optional<call_result> first;
    client.send({"GET", "/", {}, {}, {}}, milliseconds(100),
                [&](call_result result) { first = std::move(result); });
    EXPECT_TRUE(run_until([&] {
        client.expire(boot_now());
        return first.has_value();
    }));
    const auto* const failure = std::get_if<call_failure>(&*first);
    ASSERT_NE(failure, nullptr);
    EXPECT_TRUE(failure->maybe_executed);
    std::optional<call_result> second;
    client.send({"GET", "/", {}, {}, {}}, milliseconds(1000),
                [&](call_result result) { second = std::move(result); });
    EXPECT_TRUE(run_until([&] { return second.has_value(); }));
    EXPECT_EQ(body_of(*second), "late");
    EXPECT_EQ(client.connections_opened(), 2U);
}

// Failure: a connection that goes silent after it was used holds its next call
// beyond the time limit, has it sent a second time, or is used again.
TEST(http, connection_that_goes_silent_after_use_is_replaced)
{
    const auto address = test_address();
    int requests = 0;
    http_server server(
        address, {}, [&](const http_request&, const http_responder& responder) {
            if (++requests != 2)
            {
                responder({200, {}, std::to_string(requests)});
            }
        });
    http_client client(address, {1, 1});
    constexpr duration limit = milliseconds(200);
    const auto call = [&] {
        std::optional<call_result> result;
        client.send({"POST", "/", {}, {}, "x"}, limit,
                    [&](call_result r) { result = std::move(r); });
        EXPECT_TRUE(run_until([&] {
            client.expire(boot_now());
            return result.has_value();
        }));
        return *result;
    };
    EXPECT_EQ(body_of(call()), "1");
    const auto sent_at = boot_now();
    const auto silent = call();
    EXPECT_LT(boot_now() - sent_at, 5 * limit);
    const auto* const failure = std::get_if<call_failure>(&silent);
    ASSERT_NE(failure, nullptr);
    EXPECT_TRUE(failure->maybe_executed);
    EXPECT_EQ(requests, 2);
    EXPECT_EQ(body_of(call()), "3");
    EXPECT_EQ(client.connections_opened(), 2U);
}

// Failure: a call on a refused connection is reported as possibly executed.
TEST(http, refused_connection_is_reported_as_not_executed)
{
    http_client client(test_address(), {1, 1});
    std::optional<call_result> result;
    client.send({"GET", "/", {}, {}, {}}, milliseconds(500),
                [&](call_result r) { result = std::move(r); });
    EXPECT_TRUE(run_until([&] { return result.has_value(); }));
    const auto* const failure = std::get_if<call_failure>(&*result);
    ASSERT_NE(failure, nullptr);
    EXPECT_FALSE(failure->maybe_executed);
}

// Failure: a body above the limit is read completely, or the connection is
// closed without an error response.
TEST(http, oversized_body_is_rejected)
{
    const auto address = test_address();
    http_server_limits limits;
    limits.body_bytes = 100;
    http_server server(address, limits,
                       [](const http_request&, const http_responder& r) {
                           r({200, {}, {}});
                       });
    http_client client(address, {1, 1});
    std::optional<call_result> result;
    client.send({"POST", "/", {}, {}, std::string(200, 'x')},
                milliseconds(1000),
                [&](call_result r) { result = std::move(r); });
    EXPECT_TRUE(run_until([&] { return result.has_value(); }));
    ASSERT_TRUE(std::holds_alternative<http_response>(*result));
    EXPECT_EQ(std::get<http_response>(*result).status, 413U);
}

// Failure: a caller that sends half a request keeps its connection open.
TEST(http, incomplete_request_times_out)
{
    const auto address = test_address();
    http_server_limits limits;
    limits.request_time = milliseconds(50);
    http_server server(address, limits,
                       [](const http_request&, const http_responder&) {});
    auto socket = nonblocking_socket::connect_to(address);
    ASSERT_TRUE(socket);
    ASSERT_TRUE(socket->send("GET / HTTP/1.1\r\nHo"));
    EXPECT_TRUE(run_until([&] { return server.connections() == 1; }));
    EXPECT_TRUE(run_until([&] {
        server.expire(boot_now());
        return server.connections() == 0;
    }));
}

// Failure: draining aborts a response in flight, or leaves connections open.
TEST(http, draining_server_responds_and_closes)
{
    const auto address = test_address();
    std::optional<http_responder> pending;
    http_server server(
        address, {}, [&](const http_request&, const http_responder& responder) {
            pending = responder;
        });
    http_client client(address, {1, 1});
    std::optional<call_result> result;
    client.send({"GET", "/", {}, {}, {}}, milliseconds(2000),
                [&](call_result r) { result = std::move(r); });
    ASSERT_TRUE(run_until([&] { return pending.has_value(); }));
    server.drain();
    EXPECT_EQ(server.unanswered(), 1U);
    (*pending)({200, {}, "whole"});
    EXPECT_TRUE(run_until([&] { return result.has_value(); }));
    EXPECT_EQ(body_of(*result), "whole");
    EXPECT_TRUE(run_until([&] { return server.connections() == 0; }));
}

// Failure: a response to a caller that has just reset its connection terminates
// the process with bad_function_call. Requires that the reset and the request
// of another caller arrive in one iteration of the event loop, the request
// first.
TEST(http, response_to_a_reset_connection_is_dropped)
{
    const auto address = test_address();
    std::optional<http_responder> pending;
    http_server server(
        address, {}, [&](const http_request&, const http_responder& responder) {
            if (pending)
            {
                (*pending)({200, {}, "to the first caller"});
                return;
            }
            pending = responder;
        });
    const auto connect_caller = [&] {
        const int caller = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in remote{};
        remote.sin_family = AF_INET;
        remote.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &remote.sin_addr);
        const int result = connect(
            caller, reinterpret_cast<const sockaddr*>(&remote), sizeof remote);
        EXPECT_EQ(result, 0);
        return caller;
    };
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    const int first = connect_caller();
    const int second = connect_caller();
    ASSERT_TRUE(run_until([&] { return server.connections() == 2; }));
    ASSERT_GT(send(first, request.data(), request.size(), 0), 0);
    ASSERT_TRUE(run_until([&] { return pending.has_value(); }));
    ASSERT_GT(send(second, request.data(), request.size(), 0), 0);
    // Closing with a linger time of 0 sends a reset.
    const linger reset_on_close{1, 0};
    setsockopt(first, SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof reset_on_close);
    close(first);
    EXPECT_NO_THROW(run_until([&] { return server.connections() == 1; }));
    EXPECT_NO_THROW(run_until([] { return false; }, 30));
    EXPECT_EQ(server.connections(), 1U);
    close(second);
}

// Failure: a malformed address is accepted.
TEST(socket_address, only_complete_addresses_are_parsed)
{
    EXPECT_EQ(parse_socket_address("10.1.0.13:8161"),
              (socket_address{"10.1.0.13", 8161}));
    for (const auto* invalid :
         {"", "10.1.0.13", "10.1.0:1", "10.1.0.13:", "10.1.0.13:0",
          "10.1.0.13:70000", "host:80", "10.1.0.13:80x"})
    {
        EXPECT_FALSE(parse_socket_address(invalid)) << invalid;
    }
}

// Failure: a caller that goes on sending while its request is served fills the
// memory.
TEST(http, flood_behind_a_request_closes_its_connection)
{
    const auto address = test_address();
    std::vector<http_responder> waiting;
    http_server server(address, {},
                       [&](const http_request&, const http_responder& r) {
                           waiting.push_back(r);
                       });
    auto socket = nonblocking_socket::connect_to(address);
    ASSERT_TRUE(socket);
    ASSERT_TRUE(socket->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
    ASSERT_TRUE(run_until([&] { return waiting.size() == 1; }));
    socket->on_writable([&] { socket->flush(); });
    socket->send(std::string(4'000'000, 'x'));
    EXPECT_TRUE(run_until([&] { return server.connections() == 0; }));
    waiting.front()({200, {}, {}});
}

// Failure: malformed bytes of one caller end the process, or connections of
// others.
TEST(http, malformed_requests_end_only_their_connection)
{
    const auto address = test_address();
    http_server server(address, {},
                       [](const http_request&, const http_responder& r) {
                           r({200, {}, {}});
                       });
    http_client client(address, {1, 1});
    for (const std::string& odd :
         {std::string("\0\0\0\0\r\n\r\n", 8), std::string("GET\r\n\r\n"),
          std::string("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
          std::string("POST / HTTP/1.1\r\nContent-Length: 5\r\n"
                      "Content-Length: 6\r\n\r\nhello"),
          std::string("POST / HTTP/1.1\r\nContent-Length: "
                      "99999999999999999999\r\n\r\n"),
          std::string("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "zz\r\n"),
          std::string("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "ffffffffffffffff\r\n"),
          "GET /" + std::string(100'000, 'x') + " HTTP/1.1\r\n\r\n",
          "GET / HTTP/1.1\r\nA: " + std::string(100'000, 'x') + "\r\n\r\n"})
    {
        auto socket = nonblocking_socket::connect_to(address);
        ASSERT_TRUE(socket);
        socket->send(odd);
        std::string received;
        bool is_open = true;
        socket->on_readable(
            [&] { is_open = is_open && socket->receive(received); });
        EXPECT_TRUE(run_until([&] { return !is_open; })) << odd.substr(0, 60);
        EXPECT_TRUE(received.empty() || received.starts_with("HTTP/1.1 4"))
            << received;
        std::optional<call_result> result;
        client.send({"GET", "/", {}, {}, {}}, milliseconds(1000),
                    [&](call_result r) { result = std::move(r); });
        EXPECT_TRUE(run_until([&] { return result.has_value(); }));
        EXPECT_TRUE(std::holds_alternative<http_response>(*result));
    }
}
