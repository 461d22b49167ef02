// Guards against tasks that crash one worker after another, and against sound
// jobs that are given up because they ran beside such a task.
#include <algorithm>
#include <set>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "crash_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Failure: a task that crashes each worker that starts it is started for ever.
TEST_F(crash_attribution_test, task_that_crashes_its_workers_is_given_up)
{
    add_workers();
    crashing[job_id("bad")] = crash_delay;
    add_job("bad");
    simulate(seconds(30));
    EXPECT_EQ(state_of("bad"), job_state::failed);
    EXPECT_EQ(starts[job_id("bad")], 2);
}

// Failure: the same for a lasting task, which has no limit of attempts.
TEST_F(crash_attribution_test, lasting_task_that_crashes_workers_is_given_up)
{
    add_workers();
    crashing[job_id("bad")] = crash_delay;
    add_job("bad", 1, true);
    simulate(seconds(30));
    EXPECT_EQ(state_of("bad"), job_state::failed);
}

// Failure: only crashes during the start-up of a task are recognised.
TEST_F(crash_attribution_test, task_that_crashes_workers_later_is_given_up)
{
    add_workers();
    crashing[job_id("bad")] = seconds(3);
    add_job("bad");
    simulate(seconds(60));
    EXPECT_EQ(state_of("bad"), job_state::failed);
    // Two starts after the third crash are allowed.
    EXPECT_LE(starts[job_id("bad")], 5);
}

// Failure: jobs whose tasks started beside the one that crashed the worker are
// given up, or lasting tasks beside it.
TEST_F(crash_attribution_test, tasks_beside_a_crashing_one_are_not_given_up)
{
    add_workers();
    add_job("lasting", worker_count, true);
    simulate(seconds(2));
    crashing[job_id("bad")] = crash_delay;
    add_job("bad");
    for (int i = 0; i < 4; ++i)
    {
        add_job("sound-" + std::to_string(i), worker_count);
    }
    simulate(seconds(30));
    EXPECT_EQ(state_of("bad"), job_state::failed);
    EXPECT_LE(starts[job_id("bad")], 4);
    EXPECT_EQ(state_of("lasting"), std::nullopt);
    for (int i = 0; i < 4; ++i)
    {
        EXPECT_EQ(state_of("sound-" + std::to_string(i)), std::nullopt);
    }
}

// Failure: two suspects are tried on one worker, so that its next crash proves
// nothing, or something is started beside a suspect.
TEST_F(crash_attribution_test, suspects_are_tried_alone)
{
    add_worker("first", "vm-first");
    add_job("a");
    add_job("b");
    simulate(milliseconds(100));
    ASSERT_EQ(worker_of("a"), worker_of("b"));
    add_workers();
    crash(worker_of("a"));
    simulate(restart_time + milliseconds(300));
    ASSERT_NE(worker_of("a"), worker_id());
    ASSERT_NE(worker_of("b"), worker_id());
    EXPECT_NE(worker_of("a"), worker_of("b"));
    add_job("c", worker_count);
    simulate(milliseconds(200));
    EXPECT_THAT(running[worker_of("a")], testing::SizeIs(1));
    EXPECT_THAT(running[worker_of("b")], testing::SizeIs(1));
    // Both outlive the crash, and their workers take tasks again.
    simulate(seconds(3));
    add_job("d", 4 * worker_count);
    simulate(milliseconds(200));
    EXPECT_GT(running[worker_of("a")].size(), 1U);
    EXPECT_GT(running[worker_of("b")].size(), 1U);
}

// Failure: a crash counts although the task has outlived the next start.
TEST_F(crash_attribution_test, a_run_that_lasts_clears_its_task)
{
    add_workers();
    add_job("a");
    simulate(milliseconds(100));
    for (int i = 0; i < 4; ++i)
    {
        crash(worker_of("a"));
        simulate(restart_time + seconds(20));
        ASSERT_NE(worker_of("a"), worker_id());
    }
    EXPECT_EQ(state_of("a"), std::nullopt);
}

// Failure: a worker that was only silent counts as crashed.
TEST_F(crash_attribution_test, silence_of_a_worker_is_not_a_crash)
{
    add_workers();
    add_job("a");
    simulate(milliseconds(100));
    const auto worker = worker_of("a");
    silent.insert(worker);
    polls_in_progress.erase(worker);
    leader->on_poll_failed(worker, now);
    simulate(seconds(1));
    silent.clear();
    simulate(seconds(1));
    EXPECT_EQ(leader->worker_crashes(), 0U);
    EXPECT_EQ(worker_of("a"), worker);
}

// Failure: the tasks of a worker that leaves as planned become suspects.
TEST_F(crash_attribution_test, planned_stop_of_a_worker_is_not_a_crash)
{
    add_workers();
    add_job("a");
    simulate(milliseconds(100));
    const auto worker = worker_of("a");
    listed.at(worker).is_leaving = true;
    leader->set_worker(listed.at(worker), now);
    crash(worker);
    simulate(restart_time + seconds(1));
    EXPECT_EQ(leader->worker_crashes(), 0U);
    EXPECT_NE(worker_of("a"), worker_id());
}

// Failure: a worker that responds again clears a suspect of the crash of
// another worker, of which it is not known yet.
TEST_F(crash_attribution_test, suspect_on_two_workers_is_cleared_on_one)
{
    add_workers();
    add_job("a", 1, true);
    simulate(milliseconds(100));
    const auto fall_silent = [&](const worker_id& worker) {
        silent.insert(worker);
        running[worker].clear();
        polls_in_progress.erase(worker);
        leader->on_poll_failed(worker, now);
    };
    fall_silent(worker_of("a"));
    const auto await_start = [&] {
        for (int i = 0; i < 1000 && worker_of("a").empty(); ++i)
        {
            simulate(crash_delay);
        }
        return worker_of("a");
    };
    const auto second = await_start();
    ASSERT_NE(second, worker_id());
    simulate(milliseconds(100));
    const auto run = running[second].front();
    fall_silent(second);
    ended[second].push_back({1, run.task, run.run, run_end::failed, ""});
    silent.erase(second);
    const auto third = await_start();
    ASSERT_NE(third, worker_id());
    const auto stored = decode_progress(progress_rows.at(job_id("a")));
    ASSERT_TRUE(stored);
    ASSERT_EQ(stored->histories.size(), 1U);
    EXPECT_EQ(stored->histories.begin()->second.crashes.tried_on, third);
}

// Failure: the loss of a zone makes suspects of all tasks that had just
// started there.
TEST_F(crash_attribution_test, mass_failure_blames_no_task)
{
    add_workers();
    for (int i = 0; i < 2 * worker_count; ++i)
    {
        add_job("j" + std::to_string(i));
    }
    simulate(milliseconds(100));
    for (int i = 0; i < worker_count; ++i)
    {
        crash(worker_id("w" + std::to_string(i)));
    }
    simulate(restart_time + seconds(1));
    EXPECT_EQ(leader->worker_crashes(), static_cast<std::size_t>(worker_count));
    for (const auto& [id, row] : progress_rows)
    {
        const auto stored = decode_progress(row).value_or(job_progress{});
        for (const auto& [position, history] : stored.histories)
        {
            EXPECT_FALSE(history.crashes.needs_trial());
        }
        EXPECT_GT(starts[id], 1);
    }
}

// Failure: a sound job that ran on most of the lost workers is given up.
TEST_F(crash_attribution_test, one_mass_failure_does_not_give_up_a_wide_job)
{
    add_workers();
    add_job("wide", 2 * worker_count);
    simulate(milliseconds(100));
    for (int i = 0; i < worker_count; ++i)
    {
        crash(worker_id("w" + std::to_string(i)));
    }
    simulate(restart_time + seconds(5));
    EXPECT_EQ(state_of("wide"), std::nullopt);
    EXPECT_NE(worker_of("wide"), worker_id());
}

// Failure: many crashing tasks at once are taken for a mass failure for ever.
TEST_F(crash_attribution_test, crashing_tasks_that_start_together_are_given_up)
{
    for (int i = 0; i < 8 * worker_count; ++i)
    {
        add_worker("w" + std::to_string(i), "vm-" + std::to_string(i));
    }
    for (int i = 0; i < 8; ++i)
    {
        const auto name = "bad-" + std::to_string(i);
        crashing[job_id(name)] = crash_delay;
        add_job(name);
    }
    simulate(seconds(60));
    for (int i = 0; i < 8; ++i)
    {
        const auto name = "bad-" + std::to_string(i);
        EXPECT_EQ(state_of(name), job_state::failed);
        EXPECT_LE(starts[job_id(name)], 5);
    }
}

// Failure: a crash counts for nothing if the VM never runs a worker again.
TEST_F(crash_attribution_test, crashes_of_workers_that_stay_away_count)
{
    for (int i = 0; i < 3 * worker_count; ++i)
    {
        add_worker("w" + std::to_string(i), "vm-" + std::to_string(i));
    }
    returns = false;
    crashing[job_id("bad")] = crash_delay;
    add_job("bad");
    simulate(seconds(60));
    EXPECT_EQ(state_of("bad"), job_state::failed);
    EXPECT_LE(starts[job_id("bad")], 5);
}

// Failure: a run that fails at once clears its task of earlier crashes.
TEST_F(crash_attribution_test, a_failed_run_clears_nothing)
{
    add_workers();
    add_job("a", 1, true);
    simulate(milliseconds(100));
    crash(worker_of("a"));
    simulate(restart_time + milliseconds(200));
    const auto worker = worker_of("a");
    ASSERT_NE(worker, worker_id());
    const auto run = running[worker].front();
    running[worker].clear();
    ended[worker].push_back({1, run.task, run.run, run_end::failed, ""});
    simulate(seconds(1));
    const auto stored = decode_progress(progress_rows.at(job_id("a")));
    ASSERT_TRUE(stored);
    ASSERT_EQ(stored->histories.size(), 1U);
    EXPECT_TRUE(stored->histories.begin()->second.crashes.needs_trial());
}

// Failure: a suspect waits for ever because each worker has a run that is
// starting up.
TEST_F(crash_attribution_test, suspect_is_tried_on_a_busy_fleet)
{
    add_workers();
    add_job("a", 1, true);
    simulate(milliseconds(100));
    crash(worker_of("a"));
    for (int i = 0; i < 60; ++i)
    {
        add_job("short-" + std::to_string(i), 2 * worker_count);
        simulate(milliseconds(100));
        // The short tasks end, so that all workers have started some lately.
        for (auto& entry : running)
        {
            auto& ended_here = ended[entry.first];
            std::erase_if(entry.second, [&](const running_task& task) {
                if (task.task.job == job_id("a"))
                {
                    return false;
                }
                ended_here.push_back(
                    {++end_number, task.task, task.run, run_end::done, ""});
                return true;
            });
        }
    }
    EXPECT_NE(worker_of("a"), worker_id());
}
