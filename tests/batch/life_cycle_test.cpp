// Guards the path of a job from submission to its end without faults.
#include <gtest/gtest.h>

#include "batch/cluster.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::test;
using namespace std::chrono_literals;

// Failure: an accepted job does not start or its end is not recorded.
TEST(life_cycle, a_submission_runs_to_its_end)
{
    cluster c({});
    c.run_for(5s);
    EXPECT_EQ(c.shards_owned(), 4U);
    const auto number = c.submit(0, "job", 10, 3s, 1000);
    EXPECT_TRUE(c.run_until(
        [&] { return c.answers.contains(number) && c.all_over(); }, 60s));
    EXPECT_TRUE(std::holds_alternative<submission_accepted>(c.answers[number]));
    EXPECT_EQ(c.finishes("job"), 10U);
    c.check_results();
    EXPECT_TRUE(c.violations.empty()) << c.violations.front();
}

// Failure: the rows of a shard that take long to transfer are asked for again
// from the first byte, and the shard is never in service.
TEST(life_cycle, shard_is_recovered_over_a_slow_path)
{
    cluster c({});
    c.faults.page_transfer = 8s;
    c.run_for(60s);
    c.submit(0, "job", 10, 3s, 1000);
    EXPECT_TRUE(c.run_until([&] { return c.finishes("job") == 10; }, 120s));
    EXPECT_TRUE(c.violations.empty()) << c.violations.front();
}
