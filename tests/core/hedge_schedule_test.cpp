// Guards against an idempotent call that waits for a connection that is dead,
// and against one that is repeated while its answer may still come.
#include <chrono>
#include <vector>

#include <gtest/gtest.h>

#include "core/core.hpp"

using namespace hemlockdeal;
using std::chrono::milliseconds;

namespace
{

constexpr time_point due{milliseconds(1200)};

std::vector<milliseconds> attempts_until(milliseconds end)
{
    hedge_schedule schedule(due, {});
    std::vector<milliseconds> out;
    for (milliseconds at{}; at < end; at += milliseconds(10))
    {
        const time_point now{at};
        if (!schedule.has_failed(now) && schedule.take_attempt(now))
        {
            out.push_back(at);
        }
    }
    return out;
}

} // namespace

// Failure: the store is asked twice for each change.
TEST(hedge_schedule_test, call_is_not_repeated_before_its_answer_is_overdue)
{
    EXPECT_TRUE(attempts_until(milliseconds(1600)).empty());
}

// Failure: a VM asks only once more, while the path is still interrupted, or so
// often that its calls fill the path.
TEST(hedge_schedule_test, attempts_go_on_at_growing_intervals)
{
    EXPECT_EQ(attempts_until(milliseconds(10'000)),
              (std::vector{milliseconds(1600), milliseconds(2000),
                           milliseconds(2800)}));
}

// Failure: a call to a store that never answers has no outcome.
TEST(hedge_schedule_test, call_fails_when_its_answer_is_long_overdue)
{
    const hedge_schedule schedule(due, {});
    EXPECT_FALSE(schedule.has_failed(due + milliseconds(1999)));
    EXPECT_TRUE(schedule.has_failed(due + milliseconds(2000)));
}
