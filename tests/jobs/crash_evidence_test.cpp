// Guards against evidence of crashes that is lost with the leader.
#include <gtest/gtest.h>

#include "crash_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Failure: a takeover between two crashes lets the task crash more workers.
TEST_F(crash_attribution_test, evidence_survives_a_takeover)
{
    add_workers();
    crashing[job_id("bad")] = crash_delay;
    add_job("bad");
    while (starts[job_id("bad")] < 1)
    {
        simulate(milliseconds(20));
    }
    // The worker is silent when the next leader takes over.
    simulate(milliseconds(100));
    polls_in_progress.clear();
    start_leader(2);
    simulate(seconds(4));
    ASSERT_EQ(starts[job_id("bad")], 2);
    polls_in_progress.clear();
    start_leader(3);
    simulate(seconds(60));
    EXPECT_EQ(state_of("bad"), job_state::failed);
    EXPECT_LE(starts[job_id("bad")], 3);
}

// Failure: the next leader takes the crash of a worker long after the start of
// a suspect for one during its start-up.
TEST_F(crash_attribution_test, late_crash_stays_late_after_a_takeover)
{
    add_workers();
    add_job("a", 1, true);
    simulate(milliseconds(100));
    crash(worker_of("a"));
    simulate(restart_time + milliseconds(200));
    ASSERT_NE(worker_of("a"), worker_id());
    simulate(milliseconds(700));
    crash(worker_of("a"));
    simulate(milliseconds(100));
    polls_in_progress.clear();
    start_leader(2);
    simulate(restart_time + seconds(1));
    const auto stored = decode_progress(progress_rows.at(job_id("a")));
    ASSERT_TRUE(stored);
    ASSERT_EQ(stored->histories.size(), 1U);
    const auto& crashes = stored->histories.begin()->second.crashes;
    EXPECT_EQ(crashes.workers.size(), 2U);
    EXPECT_EQ(crashes.in_start_up, 1U);
}

// Failure: a new leader does not learn that workers crash for another cause at
// present, and trusts two crashes of a task that may be sound.
TEST_F(crash_attribution_test, unexplained_crash_before_a_takeover_is_known)
{
    add_workers();
    add_job("a", 1, true);
    simulate(seconds(1));
    crash(worker_of("a"));
    simulate(seconds(1));
    polls_in_progress.clear();
    start_leader(2);
    simulate(restart_time + seconds(1));
    crashing[job_id("bad")] = crash_delay;
    add_job("bad");
    simulate(seconds(30));
    EXPECT_EQ(state_of("bad"), job_state::failed);
    EXPECT_EQ(starts[job_id("bad")], 3);
}

// Failure: the next leader cannot read the evidence, or it crowds out the
// failed runs.
TEST(crash_history_codec, evidence_is_read_back)
{
    job_progress progress;
    progress.state = job_state::running;
    crash_history crashes;
    crashes.add(worker_id("w1"), true, milliseconds(10));
    crashes.add(worker_id("w2"), false, seconds(30));
    crashes.tried_on = worker_id("w3");
    EXPECT_FALSE(crashes.add(worker_id("w2"), false, seconds(30)));
    progress.histories[{0, 1, 2}] = {{1, 2}, "c", crashes};
    progress.histories[{0, 1, 3}] = {{}, "", crashes};
    const auto read = decode_progress(encode_progress(progress));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->histories.at({0, 1, 2}).crashes, crashes);
    EXPECT_EQ(read->histories.at({0, 1, 2}).failed_runs.size(), 2U);
    EXPECT_EQ(read->histories.at({0, 1, 3}).crashes, crashes);
    EXPECT_FALSE(decode_progress(R"({"s":"running","c":[[0,0,0,1,0,0,""]]})"));
    EXPECT_FALSE(decode_progress(R"({"s":"running","e":[[0,0,0,1]]})"));
    EXPECT_FALSE(
        decode_progress(R"({"s":"running","c":[[0,0,0,[1],0,0,""]]})"));
}

// Failure: the next leader does not know of crashes in mass failures, so that
// the task crashes more workers.
TEST(crash_history_codec, crashes_in_mass_failures_are_read_back)
{
    job_progress progress;
    progress.state = job_state::running;
    crash_history crashes;
    crashes.add(worker_id("w1"), true, milliseconds(10), true);
    crashes.add(worker_id("w2"), true, milliseconds(10), true);
    crashes.add(worker_id("w3"), false, seconds(30), true);
    progress.histories[{0, 1, 2}].crashes = crashes;
    const auto read = decode_progress(encode_progress(progress));
    ASSERT_TRUE(read);
    const auto& found = read->histories.at({0, 1, 2}).crashes;
    EXPECT_EQ(found.in_start_up, 0U);
    EXPECT_EQ(found.possibly_in_start_up, 2U);
    EXPECT_EQ(found, crashes);
}

// Failure: a run that an earlier leader started seems too short when its worker
// crashes, and the next run of the same length clears the task (BUDGET).
TEST_F(crash_attribution_test, crash_of_an_adopted_run_is_not_outlived_early)
{
    constexpr duration run_time = seconds(4);
    const task_key task{job_id("a"), 0, 0, 0};
    add_workers();
    add_job("a", 1, true);
    simulate(run_time - milliseconds(600));
    start_leader(2);
    simulate(milliseconds(600));
    crash(worker_of("a"));
    simulate(restart_time + milliseconds(300));
    ASSERT_NE(worker_of("a"), worker_id());
    simulate(run_time);
    crash(worker_of("a"));
    simulate(restart_time + milliseconds(300));
    EXPECT_EQ(crashes_of(task), 2U);
}

// Failure: a leader takes a late crash that it finds in the stored list of
// workers for a short run, and the next run of the same length clears the task.
TEST_F(crash_attribution_test, recorded_late_crash_is_not_outlived_early)
{
    constexpr duration run_time = seconds(2);
    const task_key task{job_id("a"), 0, 0, 0};
    add_workers();
    add_job("a", 1, true);
    simulate(milliseconds(100));
    crash(worker_of("a"));
    simulate(restart_time + milliseconds(100));
    ASSERT_NE(worker_of("a"), worker_id());
    // Each leader adopts the run and counts its age anew.
    simulate(run_time / 2);
    start_leader(2);
    simulate(run_time / 4);
    start_leader(3);
    simulate(run_time / 4);
    crash(worker_of("a"));
    simulate(milliseconds(100));
    polls_in_progress.clear();
    start_leader(4);
    simulate(restart_time + milliseconds(300));
    ASSERT_NE(worker_of("a"), worker_id());
    simulate(run_time);
    crash(worker_of("a"));
    simulate(restart_time + milliseconds(300));
    EXPECT_EQ(crashes_of(task), 3U);
}
