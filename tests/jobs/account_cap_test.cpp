// Guards against accounts that exceed their cap while a worker is silent or
// refuses to answer, and against caps that hold tasks back for nothing.
#include <algorithm>
#include <chrono>
#include <string>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "account_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

class account_cap_test : public account_test
{
protected:
    void begin_with(const accounts::account_policy& policy)
    {
        adopt({policy});
        add_worker("a");
        leader.begin(now);
        simulate();
    }

    std::size_t starts_in(duration time)
    {
        return orders_of<start_order>(simulate(time)).size();
    }

    // Orders a task of the account to worker "a", which does not answer.
    void order_to_silent_worker(bool is_long_running)
    {
        unresponsive.insert(worker_id("a"));
        auto s = step_of("j", 1, 1);
        s.is_long_running = is_long_running;
        add_job("j", one_core, s);
        ASSERT_EQ(starts_in(milliseconds(100)), 1U);
    }

    const accounts::account_policy one_core = make_policy("acc", 1000);
};

} // namespace

// Failure: short, long-running and fill tasks are not summed against one cap.
TEST_F(account_cap_test, tasks_of_all_kinds_share_the_cap)
{
    const auto policy = make_policy("acc", 4000);
    begin_with(policy);
    auto lasting = step_of("l", 2, 1);
    lasting.is_long_running = true;
    auto filling = step_of("f", 3, 1);
    filling.fills = true;
    add_job("l", policy, lasting);
    add_job("f", policy, filling);
    add_job("s", policy, step_of("s", 3, 1));
    EXPECT_EQ(starts_in(seconds(1)), 4U);
    add_job("others", {}, step_of("others", 3, 1));
    EXPECT_EQ(starts_in(seconds(1)), 3U);
}

// Failure: a gang starts in part, or exceeds the cap as a whole.
TEST_F(account_cap_test, gangs_start_whole_or_not_at_all)
{
    const auto policy = make_policy("acc", 5000);
    begin_with(policy);
    add_job("s", policy, step_of("s", 3, 1));
    ASSERT_EQ(starts_in(milliseconds(300)), 3U);
    auto gang = step_of("g", 3, 1);
    gang.is_gang = true;
    add_job("g", policy, gang);
    ASSERT_EQ(starts_in(milliseconds(300)), 0U);
    simulate_load(seconds(1), milliseconds(100));
    EXPECT_EQ(cores_of("g") +
                  (leader.registry().over().contains(job_id("g")) ? 3 : 0),
              3);
}

// Failure: running work is stopped because the cap was lowered, or further work
// starts above it.
TEST_F(account_cap_test, lowered_cap_stops_nothing_and_starts_nothing)
{
    const auto policy = make_policy("acc", 4000);
    begin_with(policy);
    add_job("s", policy, step_of("s", 6, 1));
    ASSERT_EQ(starts_in(milliseconds(300)), 4U);
    adopt({make_policy("acc", 2000)});
    const auto orders = simulate(seconds(1));
    EXPECT_TRUE(orders_of<start_order>(orders).empty());
    EXPECT_TRUE(orders_of<stop_order>(orders).empty());
    // Four runs end, and two may start.
    simulate_load(milliseconds(200), milliseconds(100));
    EXPECT_LE(cores_of("s"), 2);
}

// Failure: a task that has become larger than the cap is lost when the cap is
// raised again.
TEST_F(account_cap_test, task_beyond_the_cap_waits_until_it_is_raised)
{
    begin_with(one_core);
    add_job("big", make_policy("acc", 4000), step_of("big", 1, 3));
    EXPECT_EQ(starts_in(seconds(2)), 0U);
    adopt({make_policy("acc", 4000)});
    EXPECT_EQ(starts_in(milliseconds(3800)), 0U);
    EXPECT_EQ(starts_in(seconds(1)), 1U);
}

// Failure: a start without a response does not count, and a second task starts
// beside it.
TEST_F(account_cap_test, start_without_a_response_counts)
{
    begin_with(one_core);
    ASSERT_NO_FATAL_FAILURE(order_to_silent_worker(false));
    add_worker("b");
    add_job("k", one_core, step_of("k", 1, 1));
    EXPECT_EQ(starts_in(seconds(12)), 0U);
}

// Failure: a withdrawn start on a worker that stays silent counts for as long
// as the worker is listed, although no lease can last any more.
TEST_F(account_cap_test, withdrawn_start_on_a_silent_worker_counts_for_a_while)
{
    begin_with(one_core);
    ASSERT_NO_FATAL_FAILURE(order_to_silent_worker(false));
    add_worker("b");
    EXPECT_EQ(starts_in(seconds(18)), 0U);
    EXPECT_EQ(starts_in(seconds(4)), 1U);
}

// Failure: the withdrawn start of a long-running task on a worker that has left
// the list stops counting when the leader forgets the worker, although the
// worker may execute it later.
TEST_F(account_cap_test, withdrawn_start_on_a_forgotten_worker_counts)
{
    begin_with(one_core);
    ASSERT_NO_FATAL_FAILURE(order_to_silent_worker(true));
    leader.remove_worker(worker_id("a"), now);
    add_worker("b");
    EXPECT_EQ(starts_in(seconds(18)), 0U);
    EXPECT_EQ(starts_in(seconds(4)), 1U);
}

// Failure: an account below half of its cap waits for withdrawn starts.
TEST_F(account_cap_test, withdrawn_start_delays_no_account_with_room)
{
    begin_with(make_policy("acc", 3000));
    ASSERT_NO_FATAL_FAILURE(order_to_silent_worker(true));
    leader.remove_worker(worker_id("a"), now);
    add_worker("b");
    EXPECT_EQ(starts_in(seconds(9)), 1U);
}

// Failure: the runs of a silent or partitioned worker stop counting before
// their leases have expired, or count for longer.
TEST_F(account_cap_test, runs_of_a_silent_worker_count_until_their_leases_end)
{
    begin_with(one_core);
    add_job("j", one_core, step_of("j", 1, 1));
    ASSERT_EQ(starts_in(milliseconds(300)), 1U);
    unresponsive.insert(worker_id("a"));
    add_worker("b");
    add_job("k", one_core, step_of("k", 1, 1));
    EXPECT_EQ(starts_in(milliseconds(5500)), 0U);
    EXPECT_EQ(starts_in(seconds(3)), 1U);
}

// Failure: the runs of a cancelled job stop counting before they have stopped.
TEST_F(account_cap_test, runs_of_a_cancelled_job_count_until_they_end)
{
    begin_with(one_core);
    add_job("j", one_core, step_of("j", 1, 1));
    ASSERT_EQ(starts_in(milliseconds(300)), 1U);
    leader.cancel_job(job_id("j"), now);
    add_job("k", one_core, step_of("k", 1, 1));
    EXPECT_EQ(starts_in(seconds(1)), 0U);
    running.clear();
    EXPECT_EQ(starts_in(seconds(1)), 1U);
}

// Failure: the stored row of a cancelled job does not list a run for the next
// leader, also one whose start was withdrawn.
TEST_F(account_cap_test, row_of_a_cancelled_job_lists_its_runs)
{
    begin_with(make_policy("acc", 3000));
    ASSERT_NO_FATAL_FAILURE(order_to_silent_worker(false));
    for (const auto waited : {seconds(1), seconds(14)})
    {
        simulate(waited);
        const std::string name = waited == seconds(1) ? "k" : "j";
        if (name == "k")
        {
            add_worker("b");
            add_job("k", one_core, step_of("k", 1, 1));
            simulate(milliseconds(300));
            // No worker is left for the other task after the withdrawal.
            leader.remove_worker(worker_id("b"), now);
        }
        leader.cancel_job(job_id(name), now);
        const auto changes = leader.take_changes();
        const auto row = std::ranges::find(
            changes.jobs, job_id(name), [](const auto& r) { return r.first; });
        ASSERT_NE(row, changes.jobs.end()) << name;
        const auto progress = decode_progress(row->second);
        ASSERT_TRUE(progress);
        EXPECT_THAT(progress->ending,
                    testing::ElementsAre(job_progress::task_position{0, 0, 0}))
            << name;
    }
}

// Failure: an account above its share that uses less than half of its cap does
// not get its long-running task back in time while others fill the fleet.
TEST_F(account_cap_test, long_running_task_returns_as_soon_as_there_is_room)
{
    const auto policy = make_policy("acc", 40000);
    const auto other = make_policy("other");
    adopt({policy, other});
    add_worker("a");
    leader.begin(now);
    simulate();
    auto lasting = step_of("l", 10, 1);
    lasting.is_long_running = true;
    add_job("l", policy, lasting);
    simulate();
    ASSERT_EQ(cores_of("l"), 10);
    add_job("o", other, step_of("o", 200, 1));
    simulate();
    ASSERT_EQ(cores_of("o"), 6);
    // One of the long-running tasks fails; its worker is full again at once.
    auto& tasks = running[worker_id("a")];
    const auto lost = std::ranges::find(
        tasks, job_id("l"), [](const auto& t) { return t.task.job; });
    ended[worker_id("a")].push_back({++last_end[worker_id("a")], lost->task,
                                     lost->run, run_end::failed, ""});
    tasks.erase(lost);
    bool has_returned = false;
    const auto end = now + seconds(6);
    while (now < end && !has_returned)
    {
        simulate_load(milliseconds(20), seconds(1));
        has_returned = cores_of("l") == 10;
    }
    EXPECT_TRUE(has_returned);
}
