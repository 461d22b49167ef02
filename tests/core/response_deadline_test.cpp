// Guards against calls that are given up because of the size of their response,
// and against calls that wait for a connection that delivers nothing.
#include <chrono>
#include <cstddef>
#include <optional>

#include <gtest/gtest.h>

#include "core/core.hpp"

using namespace hemlockdeal;
using std::chrono::milliseconds;

namespace
{

constexpr time_point start{};
constexpr milliseconds timeout(1600);

// When a call is given up whose response arrives at this rate from `begins_at`
// on; empty if it is complete before.
std::optional<milliseconds>
given_up_at(milliseconds begins_at, double bytes_per_second, std::size_t size)
{
    constexpr milliseconds step(10);
    constexpr milliseconds longest(120'000);
    response_deadline deadline(start, timeout);
    double sent = 0;
    for (milliseconds at{}; at < longest; at += step)
    {
        const auto known = static_cast<std::size_t>(sent);
        if (at >= begins_at)
        {
            sent += bytes_per_second * 0.01;
        }
        deadline.on_received(static_cast<std::size_t>(sent) - known,
                             start + at);
        if (deadline.received() >= size)
        {
            return std::nullopt;
        }
        if (deadline.has_expired(start + at))
        {
            return at;
        }
    }
    return longest;
}

} // namespace

// Failure: a response is given up for its size, at whatever rate it comes.
TEST(response_deadline_test, progress_has_no_time_limit)
{
    constexpr std::size_t size = 1'300'000;
    for (const double rate : {20e6, 400e3, 150e3, 20e3})
    {
        EXPECT_EQ(given_up_at(milliseconds(20), rate, size), std::nullopt)
            << rate;
    }
}

// Failure: a silent connection is waited for beyond the timeout.
TEST(response_deadline_test, silence_ends_at_the_timeout)
{
    EXPECT_EQ(given_up_at(milliseconds(200'000), 400e3, 1000), timeout);
}

// Failure: a response that begins just before the timeout is given up at once,
// though it comes at full rate.
TEST(response_deadline_test, late_beginning_is_progress)
{
    EXPECT_EQ(given_up_at(timeout - milliseconds(20), 400e3, 1'300'000),
              std::nullopt);
}

// Failure: a byte a second keeps a call for hours.
TEST(response_deadline_test, trickle_is_no_progress)
{
    const auto end = given_up_at(milliseconds(20), 1.0, 1000);
    ASSERT_TRUE(end);
    EXPECT_LE(*end, timeout + progress_limits{}.interval);
}

// Failure: a connection that goes silent in the middle of a response is waited
// for as long as for a whole one.
TEST(response_deadline_test, stalled_response_ends_after_an_interval)
{
    response_deadline deadline(start, timeout);
    deadline.on_received(100'000, start + milliseconds(2000));
    deadline.on_received(100'000, start + milliseconds(5000));
    EXPECT_FALSE(deadline.has_expired(start + milliseconds(5999)));
    EXPECT_TRUE(deadline.has_expired(start + milliseconds(6000)));
}
