// Guards against one malformed part of a worker's report that takes down other
// runs or the worker.
#include <algorithm>

#include <gtest/gtest.h>

#include "scheduler_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

class malformed_report : public scheduler_test
{
protected:
    malformed_report()
    {
        add_worker("a");
        leader.begin(now);
    }

    start_order start_one(const std::string& name)
    {
        auto s = short_step(1);
        s.is_long_running = true;
        leader.add_job(make_job(name, s));
        const auto starts = orders_of<start_order>(simulate());
        EXPECT_EQ(starts.size(), 1U);
        return starts.empty() ? start_order{} : starts.front();
    }

    // Like simulate(), with as many rows in progress that cannot be decoded in
    // each report of the first worker.
    std::vector<order> simulate_unreadable(duration time, std::size_t rows)
    {
        unreadable_running[worker_id("a")] = rows;
        return simulate(time);
    }
};

} // namespace

// Failure: a task is placed beside a run whose size is not known, or never
// again.
TEST_F(malformed_report, worker_with_an_unreadable_run_gets_nothing_new)
{
    start_one("j");
    simulate_unreadable(milliseconds(300), 1);
    leader.add_job(make_job("k", short_step(1)));
    const auto orders = simulate_unreadable(milliseconds(1500), 1);
    EXPECT_TRUE(orders_of<start_order>(orders).empty());
    EXPECT_TRUE(orders_of<stop_order>(orders).empty());
    const auto later = simulate_unreadable(seconds(2), 0);
    EXPECT_EQ(orders_of<start_order>(later).size(), 1U);
}

// Failure: a run that may be the row that cannot be decoded is started a second
// time while it is on the worker, or its task waits without limit.
TEST_F(malformed_report, missing_run_is_stopped_before_it_starts_again)
{
    const auto first = start_one("j");
    running.clear();
    add_worker("b");
    const auto orders = simulate_unreadable(milliseconds(1500), 1);
    EXPECT_TRUE(orders_of<start_order>(orders).empty());
    const auto stops = orders_of<stop_order>(orders);
    ASSERT_FALSE(stops.empty());
    EXPECT_EQ(stops.front().task, first.task);
    leader.on_stop_confirmed(worker_id("a"), first.task, first.run, now);
    EXPECT_TRUE(
        orders_of<start_order>(simulate_unreadable(milliseconds(1500), 1))
            .empty());
    const auto again =
        orders_of<start_order>(simulate_unreadable(seconds(2), 1));
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again.front().task, first.task);
    EXPECT_GT(again.front().run, first.run);
}

// Failure: an ended row that cannot be decoded keeps the others from being
// stored and acknowledged.
TEST_F(malformed_report, ends_beside_an_unreadable_one_are_acknowledged)
{
    start_one("long");
    leader.add_job(make_job("j", short_step(1)));
    const auto starts = orders_of<start_order>(simulate());
    ASSERT_EQ(starts.size(), 1U);
    running[worker_id("a")].pop_back();
    ended[worker_id("a")] = {
        {2, starts[0].task, starts[0].run, run_end::done, ""}};
    unreadable_ended[worker_id("a")] = 1;
    simulate(seconds(1));
    EXPECT_EQ(leader.registry().over().at(job_id("j")), job_state::completed);
    EXPECT_EQ(std::ranges::max(acknowledged), 2U);
}

// Failure: an end whose number cannot be decoded is ignored, and a task that is
// done runs again; or it is handled anew with each report.
TEST_F(malformed_report, end_without_a_number_counts_once)
{
    leader.add_job(make_job("j", short_step(2)));
    const auto starts = orders_of<start_order>(simulate());
    ASSERT_EQ(starts.size(), 2U);
    running.clear();
    ended[worker_id("a")] = {
        {0, starts[0].task, starts[0].run, run_end::done, ""},
        {7, starts[1].task, starts[1].run, run_end::failed, ""}};
    leader.take_events();
    const auto again = orders_of<start_order>(simulate(seconds(5)));
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again.front().task, starts[1].task);
    const auto events = leader.take_events();
    EXPECT_EQ(std::ranges::count(events, "run ended", &decision_event::message),
              2);
}

// Failure: a new leader, whose ledger is empty, ignores an end without a number
// and starts a task that is done again.
TEST_F(malformed_report, new_leader_takes_a_done_end_without_a_number)
{
    leader.add_job(make_job("j", short_step(1)));
    ended[worker_id("a")] = {{0, {job_id("j"), 0, 0, 0}, 1, run_end::done, ""}};
    EXPECT_TRUE(orders_of<start_order>(simulate(seconds(5))).empty());
    EXPECT_EQ(leader.registry().over().at(job_id("j")), job_state::completed);
}

// Failure: a new leader starts a task beyond its attempts, because it ignores
// failures without a number, or counts one of them with each report.
TEST_F(malformed_report, new_leader_counts_each_failure_without_a_number_once)
{
    const task_key one{job_id("one"), 0, 0, 0};
    const task_key two{job_id("two"), 0, 0, 0};
    leader.add_job(make_job("one", short_step(1)));
    leader.add_job(make_job("two", short_step(1)));
    ended[worker_id("a")] = {{0, one, 1, run_end::failed, ""},
                             {0, two, 1, run_end::failed, ""},
                             {0, two, 2, run_end::failed, ""}};
    leader.take_events();
    const auto starts = orders_of<start_order>(simulate(seconds(5)));
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts.front().task, one);
    EXPECT_GT(starts.front().run, 1U);
    EXPECT_EQ(leader.registry().over().at(job_id("two")), job_state::failed);
    EXPECT_FALSE(leader.registry().over().contains(job_id("one")));
    const auto events = leader.take_events();
    EXPECT_EQ(std::ranges::count(events, "run ended", &decision_event::message),
              3);
}

// Failure: an end that is never acknowledged makes the worker answer each poll
// at once, and it is polled without pause.
TEST_F(malformed_report, ends_without_acknowledgement_bound_the_poll_rate)
{
    const auto start = start_one("j");
    const auto count_polls = [this] {
        const auto polls = orders_of<poll_order>(simulate(seconds(10)));
        EXPECT_TRUE(std::ranges::all_of(polls, [](const poll_order& poll) {
            return poll.wait.count() == 0;
        }));
        return polls.size();
    };
    // Ten seconds have 25 intervals of 400 ms.
    constexpr std::size_t max_polls = 26;
    unreadable_ended[worker_id("a")] = 1;
    simulate();
    EXPECT_LE(count_polls(), max_polls);
    unreadable_ended.clear();
    ended[worker_id("a")] = {{0, start.task, 999, run_end::stopped, ""}};
    simulate(seconds(1));
    EXPECT_LE(count_polls(), max_polls);
    // The end of a poll that may wait is seen at once again.
    ended.clear();
    simulate(seconds(1));
    EXPECT_TRUE(std::ranges::all_of(
        orders_of<poll_order>(simulate()),
        [](const poll_order& poll) { return poll.wait.count() > 0; }));
}

// Failure: a run that ended in a way that is not known is never started again,
// or ends its job as failed.
TEST_F(malformed_report, task_with_an_unrecognized_end_runs_again)
{
    add_worker("b");
    leader.add_job(make_job("j", short_step(1)));
    auto start = orders_of<start_order>(simulate());
    for (std::uint64_t number = 1; number < 5; ++number)
    {
        ASSERT_EQ(start.size(), 1U);
        running.clear();
        ended[start[0].worker].push_back(
            {number, start[0].task, start[0].run, run_end::unrecognized, ""});
        start = orders_of<start_order>(simulate(seconds(1)));
    }
    EXPECT_FALSE(leader.registry().over().contains(job_id("j")));
}

// Failure: a report without an incarnation is taken for one of a restarted
// worker, and a crash is attributed to its tasks.
TEST_F(malformed_report, report_without_an_incarnation_is_no_restart)
{
    start_one("j");
    add_worker("b");
    report_incarnation = 0;
    EXPECT_TRUE(orders_of<start_order>(simulate(seconds(2))).empty());
    report_incarnation = 1;
    EXPECT_TRUE(orders_of<start_order>(simulate(seconds(2))).empty());
    EXPECT_EQ(leader.worker_crashes(), 0U);
    EXPECT_EQ(leader.fleet().at(worker_id("a")).entry.incarnation, 1);
    const auto events = leader.take_events();
    EXPECT_TRUE(std::ranges::none_of(events, [](const auto& event) {
        return event.message.starts_with("task may have crashed");
    }));
}

// Failure: the log grows with each report that has the same malformed row.
TEST_F(malformed_report, unreadable_rows_are_logged_when_they_change)
{
    start_one("j");
    leader.take_events();
    simulate_unreadable(seconds(5), 1);
    simulate_unreadable(seconds(5), 0);
    const auto events = leader.take_events();
    EXPECT_EQ(std::ranges::count(events,
                                 "rows of a worker report cannot be decoded",
                                 &decision_event::message),
              2);
}
