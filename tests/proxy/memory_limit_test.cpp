// Tests of the limit on the bytes that the proxy buffers for all connections.
#include "proxy/test_bed.hpp"

using namespace hemlockdeal;

namespace
{

constexpr std::size_t limit = std::size_t{4} << 20U;

test_bed::options limited()
{
    test_bed::options options;
    options.limits.buffered_bytes = limit;
    return options;
}

} // namespace

// Failure: chunked bodies of many callers, all stopping short of their end,
// exhaust the memory, or an ordinary request beside them is not served.
TEST(memory_limit, incomplete_bodies_of_many_callers_are_refused)
{
    test_bed bed(limited());
    std::vector<std::unique_ptr<test_caller>> crowd;
    const std::string bytes = "POST /write HTTP/1.1\r\nHost: x\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n30000\r\n" +
                              std::string(0x30000 - 1, 'x');
    for (int i = 0; i < 60; ++i)
    {
        crowd.push_back(std::make_unique<test_caller>(bed.port()));
        crowd.back()->send(bytes);
    }
    const auto refused = [&] {
        return std::ranges::count_if(
            crowd, [](const auto& c) { return c->responses() > 0; });
    };
    EXPECT_TRUE(run_until([&] { return refused() >= 60 - 21; }, 3000));
    EXPECT_LE(bed.proxy().buffered_bytes(), limit);
    for (const auto& caller : crowd)
    {
        if (caller->responses() > 0)
        {
            const auto response = caller->next_response();
            EXPECT_EQ(response->result_int(), 503U);
            EXPECT_EQ(outcome_of(response), "not-run");
        }
    }
    test_caller ordinary(bed.port());
    const std::string body(100'000, 'y');
    EXPECT_TRUE(is_response_to(
        ordinary.round_trip("POST", "/write", "r1", body), "r1", body));
    EXPECT_EQ(bed.endpoint().total_runs(), 1U);
}

// Failure: responses that many callers do not read exhaust the memory.
TEST(memory_limit, callers_that_do_not_read_are_closed)
{
    auto options = limited();
    options.endpoint.response_bytes = std::size_t{12} << 20U;
    test_bed bed(options);
    std::vector<std::unique_ptr<test_caller>> crowd;
    for (int i = 0; i < 8; ++i)
    {
        crowd.push_back(std::make_unique<test_caller>(bed.port()));
        crowd.back()->socket().setReadBufferSize(1);
        crowd.back()->socket().setSocketOption(
            QAbstractSocket::ReceiveBufferSizeSocketOption, 4096);
        QObject::disconnect(&crowd.back()->socket(), &QTcpSocket::readyRead,
                            nullptr, nullptr);
        crowd.back()->send_request("GET", "/read", "s" + std::to_string(i));
    }
    run_for(1000);
    EXPECT_TRUE(
        run_until([&] { return bed.proxy().buffered_bytes() <= limit; }, 1000));
    EXPECT_GT(bed.proxy().refused_for_memory(), 0U);
}

// Failure: a request whose body exceeds what is left is reported as run, or
// not answered.
TEST(memory_limit, request_without_room_is_not_run)
{
    auto options = limited();
    options.limits.buffered_bytes = 50'000;
    test_bed bed(options);
    test_caller large(bed.port());
    const auto response =
        large.round_trip("POST", "/write", "r1", std::string(200'000, 'x'));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 503U);
    EXPECT_EQ(outcome_of(response), "not-run");
    EXPECT_EQ(bed.runs_of("r1"), 0U);
    test_caller small(bed.port());
    EXPECT_TRUE(is_response_to(small.round_trip("GET", "/read", "r2"), "r2"));
}

// Failure: callers that open connections and send nothing keep all others out.
TEST(caller_limit, idle_connection_makes_way_for_a_new_one)
{
    test_bed::options options;
    options.limits.callers = 3;
    test_bed bed(options);
    std::vector<std::unique_ptr<test_caller>> crowd;
    crowd.reserve(3);
    for (int i = 0; i < 3; ++i)
    {
        crowd.push_back(std::make_unique<test_caller>(bed.port()));
    }
    run_for(1200);
    test_caller ordinary(bed.port());
    EXPECT_TRUE(
        is_response_to(ordinary.round_trip("GET", "/read", "r1"), "r1"));
    EXPECT_EQ(bed.proxy().callers(), 3U);
}
