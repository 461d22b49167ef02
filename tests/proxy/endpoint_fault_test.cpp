// Tests of the proxy with endpoints that break connections, stall or send
// invalid responses.
#include "proxy/test_bed.hpp"

using namespace hemlockdeal;
using namespace std::chrono_literals;

// Failure: a truncated response is forwarded as if it were complete.
TEST(endpoint_fault, truncated_response_is_never_reported_complete)
{
    test_bed::options options;
    options.endpoint.response_bytes = 200'000;
    test_bed bed(options);
    bed.endpoint().set_fault({endpoint_fault::truncate});
    test_caller caller(bed.port());
    const auto response = caller.round_trip("POST", "/write", "r1");
    // Either the connection was reset, or nothing had been forwarded.
    EXPECT_TRUE(response ? outcome_of(response) == "unknown" : caller.closed());
    EXPECT_EQ(bed.runs_of("r1"), 1U);
    EXPECT_TRUE(run_until([&] {
        return bed.outcomes.size() == 1 &&
               bed.outcomes.begin()->second == request_outcome::unknown;
    }));
}

// Failure: a response that arrives after its request timed out is taken for the
// response to the next request.
TEST(endpoint_fault, late_response_is_not_given_to_the_next_request)
{
    test_bed::options options;
    options.target = 20ms;
    options.shortest_timeout = 150ms;
    test_bed bed(options);
    bed.endpoint().set_fault({endpoint_fault::late, 1.0, 400ms});
    test_caller caller(bed.port());
    const auto first = caller.round_trip("POST", "/write", "r1", "first");
    ASSERT_TRUE(first);
    EXPECT_EQ(first->result_int(), 504U);
    EXPECT_EQ(outcome_of(first), "unknown");
    bed.endpoint().set_fault({endpoint_fault::slow, 1.0, 100ms});
    for (int i = 2; i < 8; ++i)
    {
        const std::string id = "r" + std::to_string(i);
        EXPECT_TRUE(is_response_to(
            caller.round_trip("POST", "/write", id, "next"), id, "next"));
    }
    EXPECT_EQ(bed.runs_of("r1"), 1U);
}

// Failure: bytes after a response are taken for the next response.
TEST(endpoint_fault, extra_bytes_close_the_connection)
{
    test_bed bed({});
    bed.endpoint().set_fault({endpoint_fault::extra_bytes});
    test_caller caller(bed.port());
    for (int i = 0; i < 20; ++i)
    {
        const std::string id = "r" + std::to_string(i);
        EXPECT_TRUE(is_response_to(caller.round_trip("GET", "/read", id), id));
        run_for(i % 3);
    }
    EXPECT_EQ(bed.endpoint().connections_accepted(), 20U);
}

// Failure: a POST is sent again when its connection is closed, as Qt's
// QNetworkAccessManager does.
TEST(endpoint_fault, post_on_a_closed_connection_runs_once)
{
    test_bed bed({});
    test_caller caller(bed.port());
    // Makes the fault occur on a reused connection.
    ASSERT_TRUE(
        is_response_to(caller.round_trip("POST", "/write", "r0"), "r0"));
    bed.endpoint().set_fault({endpoint_fault::cut});
    const auto response = caller.round_trip("POST", "/write", "r1", "body");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 504U);
    EXPECT_EQ(outcome_of(response), "unknown");
    run_for(300);
    EXPECT_EQ(bed.runs_of("r1"), 1U);
}

// Failure: a request waits for an unresponsive connection although the endpoint
// responds on new ones.
TEST(endpoint_fault,
     idempotent_request_is_retried_on_an_unresponsive_connection)
{
    test_bed::options options;
    options.endpoints = 2;
    options.target = 200ms;
    test_bed bed(options);
    test_caller caller(bed.port());
    for (int i = 0; i < 50; ++i)
    {
        ASSERT_TRUE(caller.round_trip("GET", "/read", "warm"));
    }
    bed.endpoint(0).set_fault({endpoint_fault::silent});
    bed.endpoint(1).set_fault({endpoint_fault::silent});
    EXPECT_TRUE(is_response_to(caller.round_trip("GET", "/read", "r1"), "r1"));
}

// Failure: a non-idempotent request is sent on an idle connection that has
// become unresponsive, and its outcome is unknown.
TEST(endpoint_fault, idle_connection_is_probed_before_use)
{
    test_bed::options options;
    options.limits.probe_after_idle = 100ms;
    options.limits.probe_time = 200ms;
    test_bed bed(options);
    test_caller caller(bed.port());
    ASSERT_TRUE(
        is_response_to(caller.round_trip("POST", "/write", "r0"), "r0"));
    bed.endpoint().set_fault({endpoint_fault::silent});
    run_for(200);
    EXPECT_TRUE(
        is_response_to(caller.round_trip("POST", "/write", "r1"), "r1"));
    EXPECT_EQ(bed.runs_of("r1"), 1U);
    EXPECT_EQ(bed.endpoint().connections_accepted(), 2U);
}

// Failure: an endpoint that announced its shutdown gets new requests.
TEST(endpoint_fault, leaving_endpoint_gets_no_new_requests)
{
    test_bed::options options;
    options.endpoints = 2;
    test_bed bed(options);
    bed.endpoint(0).set_fault({endpoint_fault::leaving});
    test_caller caller(bed.port());
    for (int i = 0; i < 50; ++i)
    {
        const std::string id = "r" + std::to_string(i);
        EXPECT_TRUE(is_response_to(caller.round_trip("GET", "/read", id), id));
    }
    EXPECT_LE(bed.endpoint(0).total_runs(), 1U);
}

// Failure: a request that the endpoint did not run is reported as unknown, or
// is not retried on another endpoint.
TEST(endpoint_fault, request_not_run_is_retried_on_another_endpoint)
{
    test_bed::options options;
    options.endpoints = 2;
    test_bed bed(options);
    bed.endpoint(0).set_fault({endpoint_fault::not_run});
    test_caller caller(bed.port());
    for (int i = 0; i < 10; ++i)
    {
        const std::string id = "r" + std::to_string(i);
        const auto response = caller.round_trip("POST", "/write", id);
        EXPECT_TRUE(is_response_to(response, id) ||
                    outcome_of(response) == "not-run");
        EXPECT_EQ(bed.runs_of(id), outcome_of(response) == "not-run" ? 0U : 1U);
    }
}

// Failure: a request that reached no endpoint is reported as unknown.
TEST(endpoint_fault, unreachable_endpoint_gives_outcome_not_run)
{
    test_bed bed({});
    bed.endpoint().set_fault({endpoint_fault::down});
    test_caller caller(bed.port());
    const auto response = caller.round_trip("POST", "/write", "r1");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 503U);
    EXPECT_EQ(outcome_of(response), "not-run");
    EXPECT_EQ(bed.runs_of("r1"), 0U);
}

// Failure: a request repeated with the same idempotency key runs again, or gets
// a different response.
TEST(endpoint_fault, repeated_key_gets_the_stored_response)
{
    test_bed bed({});
    const std::string key = "Idempotency-Key: k1\r\n";
    test_caller caller(bed.port());
    EXPECT_TRUE(is_response_to(
        caller.round_trip("POST", "/write", "r1", "b", key), "r1", "b"));
    std::optional<test_caller::response> repeat;
    run_until([&] {
        repeat = caller.round_trip("POST", "/write", "r2", "b", key);
        return repeat && repeat->result_int() == 200;
    });
    EXPECT_TRUE(is_response_to(repeat, "r1", "b"));
    EXPECT_EQ(bed.endpoint().runs_of_key("k1"), 1U);
}
