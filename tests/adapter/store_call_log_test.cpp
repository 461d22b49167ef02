// Guards against calls to the store that end without a response while neither
// logs nor metrics tell.
#include <chrono>

#include <gtest/gtest.h>

#include "log_capture.hpp"
#include "store_call_log.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::adapter;
using namespace hemlockdeal::adapter::test;
using std::chrono::milliseconds;

namespace
{

call_record given_up()
{
    return {"/rows-feed?table=op", milliseconds(2500), milliseconds(1300),
            310'000, "no response in time"};
}

} // namespace

// Failure: nobody can tell a response that was given up half way from a store
// that does not answer.
TEST(store_call_log_test, given_up_response_is_logged_with_its_bytes)
{
    log_capture capture;
    store_call_log calls;
    calls.add(given_up(), time_point(milliseconds(5000)));
    const auto lines = capture.count(
        {"store call has no complete response", "/rows-feed?table=op",
         "took_ms=2500", "begun_after_ms=1300", "received=310000"});
    EXPECT_EQ(lines.size(), 5U);
    EXPECT_EQ(calls.traffic().at("/rows-feed").wasted, 310'000U);
    EXPECT_EQ(calls.traffic().at("/rows-feed").incomplete, 1U);
}

// Failure: when a change is in force late, nobody can tell whether its response
// began late or took long.
TEST(store_call_log_test, slow_transfer_is_logged_with_its_times)
{
    log_capture capture;
    store_call_log calls;
    calls.add({"/rows-feed?table=op", milliseconds(2600), milliseconds(1100),
               435'000, ""},
              time_point(milliseconds(5000)));
    calls.add({"/rows-feed?table=op", milliseconds(1190), milliseconds(1188),
               120, ""},
              time_point(milliseconds(5000)));
    const auto lines = capture.count({"response of the store took long",
                                      "took_ms=2600", "begun_after_ms=1100",
                                      "received=435000", "took_ms=1190"});
    EXPECT_EQ(lines.at("response of the store took long"), 1U);
    EXPECT_EQ(lines.at("took_ms=2600"), 1U);
    EXPECT_EQ(lines.at("begun_after_ms=1100"), 1U);
    EXPECT_EQ(lines.at("received=435000"), 1U);
    EXPECT_EQ(calls.traffic().at("/rows-feed").complete, 2U);
}

// Failure: a store that does not answer fills the log.
TEST(store_call_log_test, lines_are_bounded)
{
    log_capture capture;
    store_call_log calls;
    for (int i = 0; i < 1000; ++i)
    {
        calls.add(given_up(), time_point(milliseconds(5000 + i)));
    }
    const auto lines = capture.count({"store call has no complete response"});
    EXPECT_LE(lines.at("store call has no complete response"), 4U);
    EXPECT_EQ(calls.left_out(), 996U);
}
