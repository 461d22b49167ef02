// Guards against sound jobs that are given up because workers had ended before
// a start order arrived, and against tasks that crash their workers at once.
#include <gtest/gtest.h>

#include "crash_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::seconds;

// Failure: a job is given up as soon as two of its starts were sent to workers
// that had ended.
TEST_F(crash_attribution_test, unconfirmed_starts_do_not_give_up_a_sound_job)
{
    add_workers();
    unconfirmed_crashes[job_id("a")] = 2;
    add_job("a", 1, true);
    simulate(seconds(40));
    EXPECT_EQ(starts[job_id("a")], 3);
    EXPECT_EQ(state_of("a"), std::nullopt);
    EXPECT_NE(worker_of("a"), worker_id());
}

// Failure: a task that crashes each worker before the start is confirmed is
// started more than twice after three crashes.
TEST_F(crash_attribution_test, task_that_crashes_workers_at_once_is_given_up)
{
    add_workers();
    constexpr int always = 1000;
    unconfirmed_crashes[job_id("bad")] = always;
    add_job("bad");
    simulate(seconds(90));
    EXPECT_EQ(state_of("bad"), job_state::failed);
    EXPECT_LE(starts[job_id("bad")], 5);
}
