// Feeds the crash ledger histories that break one check each, to show that each
// check can fail.
#include <algorithm>
#include <chrono>

#include <gtest/gtest.h>

#include "emulation/crash_ledger.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::emulation;
using std::chrono::seconds;

namespace
{

class crash_ledger_test : public testing::Test
{
protected:
    jobs::task_key submit(bool is_lasting, bool crashes)
    {
        jobs::job made;
        made.id = job_id("j");
        made.steps.resize(1);
        made.steps.front().is_long_running = is_lasting;
        jobs::task_key task{made.id, 0, 0, 0};
        ledger.on_submitted(made,
                            crashes ? std::set<jobs::task_key>{task}
                                    : std::set<jobs::task_key>{},
                            now);
        return task;
    }

    void start_and_crash(const jobs::task_key& task)
    {
        now += seconds(4);
        ledger.on_started(task, worker_id("w"), now);
        ledger.on_worker_lost(worker_id("w"), {task}, task, now);
    }

    bool has_violation(crash_check check) const
    {
        return std::ranges::find(ledger.result().violations, check,
                                 &crash_violation::check) !=
               ledger.result().violations.end();
    }

    time_point now{seconds(100)};
    crash_ledger ledger{crash_limits()};
};

} // namespace

// Failure: a third start after three workers have crashed under a task is not
// noticed, or the two before it are.
TEST_F(crash_ledger_test, third_start_after_three_crashes_is_a_violation)
{
    const auto task = submit(false, true);
    for (int i = 0; i < 5; ++i)
    {
        start_and_crash(task);
    }
    EXPECT_TRUE(ledger.result().violations.empty());
    EXPECT_EQ(ledger.result().max_later_starts, 2U);
    start_and_crash(task);
    EXPECT_TRUE(has_violation(crash_check::repeated_start));
    EXPECT_EQ(ledger.result().crashes_by_tasks, 6U);
}

// Failure: the loss of a job that could be done is not noticed.
TEST_F(crash_ledger_test, sound_job_that_is_given_up_is_a_violation)
{
    const auto task = submit(false, false);
    ledger.on_shown_state(task.job, jobs::job_state::failed, now);
    EXPECT_TRUE(has_violation(crash_check::wrong_give_up));
    EXPECT_EQ(ledger.result().given_up_wrongly, 1U);
}

// Failure: a job that is shown as completed before its last task has ended as
// done passes.
TEST_F(crash_ledger_test, job_completed_before_its_tasks_is_a_violation)
{
    const auto task = submit(false, false);
    ledger.on_started(task, worker_id("w"), now);
    ledger.on_run_ended(task, worker_id("w"), jobs::run_end::failed, now);
    ledger.on_shown_state(task.job, jobs::job_state::completed, now);
    EXPECT_TRUE(has_violation(crash_check::completed_early));
}

// Failure: the same is reported of a job whose tasks have ended as done.
TEST_F(crash_ledger_test, job_completed_after_its_tasks_is_no_violation)
{
    const auto task = submit(false, false);
    ledger.on_started(task, worker_id("w"), now);
    ledger.on_run_ended(task, worker_id("w"), jobs::run_end::done, now);
    ledger.on_shown_state(task.job, jobs::job_state::completed, now);
    EXPECT_TRUE(ledger.result().violations.empty());
}

// Failure: a crashing job that is never given up passes.
TEST_F(crash_ledger_test, crashing_job_that_is_not_given_up_is_a_violation)
{
    const auto task = submit(false, true);
    start_and_crash(task);
    start_and_crash(task);
    ledger.check_times(now + seconds(29));
    EXPECT_TRUE(ledger.result().violations.empty());
    ledger.check_times(now + seconds(31));
    EXPECT_TRUE(has_violation(crash_check::late_give_up));
    ledger.close(now + seconds(100));
    EXPECT_EQ(ledger.result().violations.size(), 2U);
}

// Failure: a crashing job that is given up in time is reported.
TEST_F(crash_ledger_test, crashing_job_that_is_given_up_is_counted)
{
    const auto task = submit(false, true);
    start_and_crash(task);
    start_and_crash(task);
    ledger.on_shown_state(task.job, jobs::job_state::failed, now + seconds(5));
    ledger.close(now + seconds(100));
    EXPECT_TRUE(ledger.result().violations.empty());
    EXPECT_EQ(ledger.result().given_up_rightly, 1U);
    EXPECT_EQ(ledger.result().longest_since_second_crash, seconds(5));
}

// Failure: a task that runs on two workers is not noticed.
TEST_F(crash_ledger_test, second_run_beside_the_first_is_a_violation)
{
    const auto task = submit(false, false);
    ledger.on_started(task, worker_id("w1"), now);
    ledger.on_started(task, worker_id("w2"), now);
    EXPECT_TRUE(has_violation(crash_check::second_run));
}

// Failure: a lasting task that stays away although there is room passes.
TEST_F(crash_ledger_test, lasting_task_that_stays_away_is_a_violation)
{
    const auto task = submit(true, false);
    ledger.on_started(task, worker_id("w"), now);
    ledger.on_worker_lost(worker_id("w"), {task}, std::nullopt, now);
    ASSERT_EQ(ledger.lasting_without_run().size(), 1U);
    ledger.add_time_with_room(task, seconds(9), now);
    EXPECT_TRUE(ledger.result().violations.empty());
    ledger.add_time_with_room(task, seconds(1), now);
    EXPECT_TRUE(has_violation(crash_check::lasting_task_away));
}

// Failure: a scheduler that sends starts to workers that it knows to be lost
// passes.
TEST_F(crash_ledger_test, only_starts_to_recently_lost_workers_are_excused)
{
    const auto task = submit(true, false);
    ledger.on_started(task, worker_id("w"), now);
    ledger.on_worker_lost(worker_id("w"), {task}, std::nullopt, now);
    ledger.add_time_with_room(task, seconds(8), now);
    ledger.on_start_lost(task, now - seconds(1), now);
    ledger.add_time_with_room(task, seconds(8), now);
    EXPECT_TRUE(ledger.result().violations.empty());
    ledger.on_start_lost(task, now - seconds(4), now);
    ledger.add_time_with_room(task, seconds(2), now);
    EXPECT_TRUE(has_violation(crash_check::lasting_task_away));
}

// Failure: a crashing job that was started before it was given up is not told
// from one that is started afterwards.
TEST_F(crash_ledger_test, start_after_the_job_was_given_up_is_a_violation)
{
    const auto task = submit(false, true);
    start_and_crash(task);
    ledger.on_shown_state(task.job, jobs::job_state::failed, now);
    EXPECT_TRUE(ledger.result().violations.empty());
    start_and_crash(task);
    EXPECT_TRUE(has_violation(crash_check::repeated_start));
}

// Failure: a sound job that is never completed passes.
TEST_F(crash_ledger_test, sound_job_that_is_not_completed_is_a_violation)
{
    submit(false, false);
    ledger.close(now + seconds(41));
    EXPECT_TRUE(has_violation(crash_check::unfinished_job));
}
