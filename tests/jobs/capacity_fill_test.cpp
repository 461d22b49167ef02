// Guards against fill tasks on a worker whose capacity has shrunk, and against
// a worker that is avoided because its fill tasks lack processors.
#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>

#include <gtest/gtest.h>

#include "capacity_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Failure: a fill task, whose processors are not counted, is started on a
// worker whose runs exceed its capacity.
TEST_F(capacity_test, no_fill_task_starts_beside_runs_over_the_capacity)
{
    begin({"a"});
    run_job("lasting", serving_step(4, 3000));
    publish("a", {8000, 64000, 0});
    add_job("fill", fill_step(1, 1000));
    EXPECT_TRUE(simulate(seconds(2)).empty());
    publish("a", full_room);
    EXPECT_EQ(simulate().size(), 1U);
}

// Failure: the processors expected to be unused are negative, and a fill task
// is started or the leader's sums wrap around.
TEST_F(capacity_test, no_fill_task_starts_while_no_processors_are_unused)
{
    begin({"a"});
    run_job("batch", step_of(3, 4000));
    for (const auto millis :
         {std::int64_t{2000}, std::int64_t{0}, std::int64_t{-5},
          std::numeric_limits<std::int64_t>::min()})
    {
        publish("a", {millis, 64000, 0});
        add_job("fill" + std::to_string(millis), fill_step(1, 100));
        EXPECT_TRUE(simulate(seconds(1)).empty()) << millis;
    }
    EXPECT_TRUE(stops.empty());
}

// Failure: a fill task without processors counts as a fault of its worker,
// which is then avoided for seconds after its capacity has grown back (LOST of
// a long-running task whose only room is there).
TEST_F(capacity_test, worker_without_room_for_its_fills_is_not_avoided)
{
    begin({"a"});
    run_job("fill", fill_step(2, 4000));
    publish("a", {0, 64000, 0});
    runs_progress = false;
    add_job("lasting", serving_step(1, 4000));
    // Longer than a run may be without progress.
    ASSERT_TRUE(simulate(seconds(4)).empty());
    publish("a", full_room);
    const auto starts = simulate();
    EXPECT_TRUE(std::ranges::any_of(starts, [](const start_order& o) {
        return o.task.job == job_id("lasting");
    }));
}

// Failure: a run that stood still for lack of processors is judged by that time
// after the room is back, and its worker is avoided.
TEST_F(capacity_test, stall_limit_begins_anew_when_the_room_is_back)
{
    begin({"a"});
    run_job("fill", fill_step(2, 4000));
    publish("a", {0, 64000, 0});
    runs_progress = false;
    simulate(milliseconds(2400));
    publish("a", full_room);
    simulate(milliseconds(400));
    EXPECT_TRUE(stops.empty());
    add_job("lasting", serving_step(1, 4000));
    EXPECT_EQ(simulate().size(), 1U);
}
