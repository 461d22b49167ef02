// Tests of the proxy with slow, broken and malicious callers, and of draining.
#include <random>

#include "proxy/test_bed.hpp"

using namespace hemlockdeal;
using namespace std::chrono_literals;

// Failure: a caller that sends its headers slowly keeps its connection
// indefinitely.
TEST(caller_fault, slow_headers_get_408)
{
    test_bed::options options;
    options.limits.header_time = 200ms;
    test_bed bed(options);
    test_caller caller(bed.port());
    caller.send("GET /read HTTP/1.1\r\nHost: x\r\n");
    for (int i = 0; i < 20 && caller.responses() == 0; ++i)
    {
        caller.send("X-A: 1\r\n");
        run_for(30);
    }
    const auto response = caller.next_response();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 408U);
    EXPECT_EQ(outcome_of(response), "not-run");
    EXPECT_TRUE(run_until([&] { return caller.closed(); }));
}

// Failure: a caller that stops in the middle of its body occupies a slot of an
// endpoint.
TEST(caller_fault, stalled_body_gets_408_and_is_not_run)
{
    test_bed::options options;
    options.limits.body_idle_time = 200ms;
    test_bed bed(options);
    test_caller caller(bed.port());
    caller.send("POST /write HTTP/1.1\r\nContent-Length: 100\r\n\r\nabc");
    const auto response = caller.next_response();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 408U);
    EXPECT_EQ(outcome_of(response), "not-run");
    EXPECT_EQ(bed.endpoint().connections_accepted(), 0U);
}

// Failure: headers above the limit are buffered or forwarded.
TEST(caller_fault, oversized_headers_get_431)
{
    test_bed bed({});
    test_caller caller(bed.port());
    const auto response =
        caller.round_trip("GET", "/read", "r1", "",
                          "X-Long: " + std::string(20'000, 'a') + "\r\n");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 431U);
    EXPECT_EQ(outcome_of(response), "not-run");
    EXPECT_EQ(bed.endpoint().total_runs(), 0U);
}

// Failure: a body whose declared length is above the limit is read.
TEST(caller_fault, oversized_body_gets_413)
{
    test_bed bed({});
    test_caller caller(bed.port());
    caller.send("POST /write HTTP/1.1\r\nContent-Length: 16777217\r\n\r\n");
    const auto response = caller.next_response();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 413U);
    EXPECT_EQ(outcome_of(response), "not-run");
    EXPECT_EQ(bed.endpoint().total_runs(), 0U);
}

// Failure: a chunked body above the limit is forwarded as if it were complete.
TEST(caller_fault, oversized_chunked_body_does_not_run)
{
    test_bed bed({});
    test_caller caller(bed.port());
    caller.send("POST /write HTTP/1.1\r\nX-Request-Id: r1\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
    std::string chunk = "80000\r\n";
    chunk.append(0x80000, 'a').append("\r\n");
    for (int i = 0; i < 34; ++i)
    {
        caller.send(chunk);
    }
    const auto response = caller.next_response();
    EXPECT_TRUE(!response || response->result_int() == 413U);
    EXPECT_EQ(bed.runs_of("r1"), 0U);
}

// Failure: a body larger than the window is truncated or corrupted.
TEST(caller_fault, large_bodies_are_forwarded_in_both_directions)
{
    test_bed::options options;
    options.target = 10s;
    test_bed bed(options);
    std::string body;
    body.resize(9'000'000);
    std::mt19937 random(1);
    std::ranges::generate(
        body, [&] { return static_cast<char>('a' + random() % 26); });
    test_caller caller(bed.port());
    EXPECT_TRUE(is_response_to(caller.round_trip("POST", "/write", "r1", body),
                               "r1", body));
    // The same body in chunks of odd size.
    caller.send("POST /write HTTP/1.1\r\nX-Request-Id: r2\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
    for (std::size_t at = 0; at < body.size(); at += 65'535)
    {
        const std::string piece = body.substr(at, 65'535);
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
        caller.send(size.data() + piece + "\r\n");
    }
    caller.send("0\r\n\r\n");
    EXPECT_TRUE(is_response_to(caller.next_response(), "r2", body));
}

// Failure: if a caller does not read its response, the proxy buffers all of it.
TEST(caller_fault, response_waits_for_a_caller_that_does_not_read)
{
    test_bed::options options;
    options.endpoint.response_bytes = 15'000'000;
    options.target = 10s;
    test_bed bed(options);
    QTcpSocket caller;
    caller.setReadBufferSize(1000);
    caller.connectToHost("127.0.0.1", bed.port());
    caller.write("GET /read HTTP/1.1\r\nX-Request-Id: r1\r\n\r\n");
    run_for(500);
    EXPECT_EQ(bed.endpoint().total_runs(), 1U);
    EXPECT_EQ(bed.proxy().requests_in_progress(), 1U);
    // The core reports the outcome only after the response was read.
    EXPECT_TRUE(bed.outcomes.empty());
    caller.setReadBufferSize(0);
    qint64 received = 0;
    EXPECT_TRUE(run_until([&] {
        received += caller.readAll().size();
        return received >= 15'000'000;
    }));
}

// Failure: input that is not HTTP stops the proxy or reaches an endpoint.
TEST(caller_fault, random_bytes_are_rejected)
{
    test_bed bed({});
    std::mt19937 random(20261204);
    for (int i = 0; i < 200; ++i)
    {
        test_caller caller(bed.port());
        std::string bytes(1 + random() % 3000, ' ');
        std::ranges::generate(
            bytes, [&] { return static_cast<char>(random() % 256); });
        caller.send((i % 2 == 0 ? "" : "GET /read HTTP/1.1\r\n") + bytes +
                    "\r\n\r\n");
        const auto response = caller.next_response();
        EXPECT_TRUE(!response || response->result_int() >= 400U);
    }
    EXPECT_EQ(bed.endpoint().total_runs(), 0U);
    test_caller caller(bed.port());
    EXPECT_TRUE(is_response_to(caller.round_trip("GET", "/read", "r1"), "r1"));
}

// Failure: request smuggling. With conflicting body lengths, a request hidden
// in the body reaches an endpoint.
TEST(caller_fault, conflicting_lengths_are_rejected)
{
    test_bed bed({});
    test_caller caller(bed.port());
    caller.send("POST /write HTTP/1.1\r\nContent-Length: 4\r\n"
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    const auto response = caller.next_response();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 400U);
    EXPECT_EQ(bed.endpoint().total_runs(), 0U);
}

// Failure: the response to a disconnected caller goes to another caller, or its
// request stays in progress.
TEST(caller_fault, disconnected_caller_leaves_no_request_in_progress)
{
    test_bed::options options;
    options.endpoint.service_time = 100ms;
    test_bed bed(options);
    for (int i = 0; i < 20; ++i)
    {
        test_caller disconnecting(bed.port());
        disconnecting.send_request(i % 2 == 0 ? "GET" : "POST",
                                   i % 2 == 0 ? "/read" : "/write", "gone");
        run_for(i % 4 * 10);
        disconnecting.disconnect();
    }
    EXPECT_TRUE(run_until([&] {
        return bed.proxy().requests_in_progress() == 0 &&
               bed.proxy().callers() == 0;
    }));
    test_caller caller(bed.port());
    EXPECT_TRUE(is_response_to(caller.round_trip("GET", "/read", "r1"), "r1"));
}

// Failure: draining interrupts requests in flight.
TEST(caller_fault, planned_stop_finishes_requests_in_flight)
{
    test_bed::options options;
    options.limits.drain_delay = 300ms;
    options.limits.drain_idle_time = 50ms;
    options.endpoint.service_time = 600ms;
    options.target = 5s;
    test_bed bed(options);
    std::vector<std::unique_ptr<test_caller>> callers;
    for (int i = 0; i < 6; ++i)
    {
        callers.push_back(std::make_unique<test_caller>(bed.port()));
        callers.back()->send_request("POST", "/write", std::to_string(i));
    }
    test_caller balancer(bed.port());
    EXPECT_EQ(balancer.round_trip("GET", "/healthz", "h")->result_int(), 200U);
    bool drained = false;
    bed.proxy().drain([&] { drained = true; });
    EXPECT_EQ(balancer.round_trip("GET", "/healthz", "h")->result_int(), 503U);
    // New requests are still served until the listener closes.
    test_caller late_caller(bed.port());
    late_caller.send_request("POST", "/write", "late");
    run_until([&] { return drained; }, 8000);
    EXPECT_TRUE(drained);
    for (int i = 0; i < 6; ++i)
    {
        const std::string id = std::to_string(i);
        EXPECT_TRUE(is_response_to(callers[i]->next_response(), id));
        EXPECT_EQ(bed.runs_of(id), 1U);
    }
    EXPECT_TRUE(is_response_to(late_caller.next_response(), "late"));
    EXPECT_EQ(bed.proxy().callers(), 0U);
    test_caller rejected_caller(bed.port());
    EXPECT_FALSE(rejected_caller.round_trip("GET", "/read", "r1"));
}

// Failure: connections above the limit exhaust the process.
TEST(caller_fault, connections_beyond_the_limit_are_closed)
{
    test_bed::options options;
    options.limits.callers = 2;
    test_bed bed(options);
    test_caller first(bed.port());
    test_caller second(bed.port());
    ASSERT_TRUE(is_response_to(first.round_trip("GET", "/read", "r1"), "r1"));
    ASSERT_TRUE(is_response_to(second.round_trip("GET", "/read", "r2"), "r2"));
    test_caller third(bed.port());
    EXPECT_FALSE(third.round_trip("GET", "/read", "r3"));
    EXPECT_EQ(bed.proxy().refused_callers(), 1U);
    EXPECT_TRUE(is_response_to(first.round_trip("GET", "/read", "r4"), "r4"));
}

// Failure: the response to HEAD, or to an HTTP/1.0 caller, has a body or chunks
// that the caller cannot parse, so that the next response is misread.
TEST(caller_fault, head_and_http_1_0_responses_have_no_chunks)
{
    test_bed bed({});
    test_caller head(bed.port());
    head.send("HEAD /read HTTP/1.1\r\nX-Request-Id: r1\r\n\r\n");
    EXPECT_TRUE(run_until([&] { return head.received_anything(); }));
    EXPECT_EQ(bed.runs_of("r1"), 1U);
    EXPECT_TRUE(
        run_until([&] { return bed.proxy().requests_in_progress() == 0; }));
    test_caller http_1_0_caller(bed.port());
    http_1_0_caller.send("GET /read HTTP/1.0\r\nX-Request-Id: r2\r\n\r\n");
    const auto response = http_1_0_caller.next_response();
    EXPECT_TRUE(is_response_to(response, "r2"));
    EXPECT_FALSE(response && response->chunked());
    EXPECT_TRUE(run_until([&] { return http_1_0_caller.closed(); }));
}

// Failure: a pipelined request is lost or gets its response out of order, or a
// caller waits indefinitely for "100 Continue".
TEST(caller_fault, pipelined_requests_get_responses_in_order)
{
    test_bed bed({});
    test_caller caller(bed.port());
    caller.send("GET /read HTTP/1.1\r\nX-Request-Id: r1\r\n\r\n"
                "GET /healthz HTTP/1.1\r\n\r\n"
                "POST /write HTTP/1.1\r\nX-Request-Id: r2\r\n"
                "Content-Length: 1\r\n\r\nb");
    EXPECT_TRUE(is_response_to(caller.next_response(), "r1"));
    EXPECT_EQ(caller.next_response()->result_int(), 200U);
    EXPECT_TRUE(is_response_to(caller.next_response(), "r2", "b"));
    caller.send("POST /write HTTP/1.1\r\nX-Request-Id: r3\r\n"
                "Expect: 100-continue\r\nContent-Length: 1\r\n\r\n");
    EXPECT_TRUE(run_until([&] { return caller.unread_responses() == 1; }));
    EXPECT_EQ(caller.next_response()->result_int(), 100U);
    caller.send("c");
    EXPECT_TRUE(is_response_to(caller.next_response(), "r3", "c"));
}

// Failure: an idle connection is kept open indefinitely.
TEST(caller_fault, idle_connection_is_closed)
{
    test_bed::options options;
    options.limits.idle_time = 200ms;
    test_bed bed(options);
    test_caller silent(bed.port());
    test_caller used(bed.port());
    EXPECT_TRUE(is_response_to(used.round_trip("GET", "/read", "r1"), "r1"));
    EXPECT_TRUE(run_until([&] { return silent.closed() && used.closed(); }));
    EXPECT_EQ(bed.proxy().callers(), 0U);
}
