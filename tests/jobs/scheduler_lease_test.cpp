// Regression tests for faults of the scheduler with leases, restarted or
// unresponsive workers and acknowledgements: each has the shortest sequence of
// events that causes the fault.
#include <algorithm>

#include <gtest/gtest.h>

#include "fake_worker.hpp"
#include "scheduler_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Failure: the long-running task of a crashed worker is never placed again,
// because each unanswered poll carries a later deadline (LOST, scale-2).
TEST_F(scheduler_test, tasks_of_an_unresponsive_worker_are_placed_again)
{
    add_worker("a");
    leader.begin(now);
    auto s = short_step(1);
    s.is_long_running = true;
    leader.add_job(make_job("j", s));
    ASSERT_EQ(orders_of<start_order>(simulate()).size(), 1U);
    unresponsive.insert(worker_id("a"));
    leader.remove_worker(worker_id("a"), now);
    add_worker("b");
    const auto starts = orders_of<start_order>(simulate(seconds(9)));
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts.front().worker, worker_id("b"));
    EXPECT_GT(starts.front().run, 1U);
}

// Failure: a task is placed again while its lease may still be valid.
TEST_F(scheduler_test, tasks_of_an_unresponsive_worker_wait_for_their_leases)
{
    add_worker("a");
    leader.begin(now);
    leader.add_job(make_job("j", short_step(1)));
    simulate();
    unresponsive.insert(worker_id("a"));
    add_worker("b");
    EXPECT_TRUE(orders_of<start_order>(simulate(seconds(5))).empty());
}

// Failure: the tasks of a crashed worker wait for its leases although a new
// process on its VM shows that it has ended.
TEST_F(scheduler_test, tasks_of_a_worker_replaced_on_its_vm_restart_at_once)
{
    auto crashed = entry("a");
    crashed.vm = vm_id("vm-1");
    leader.set_worker(crashed, now);
    leader.begin(now);
    leader.add_job(make_job("j", short_step(1)));
    ASSERT_EQ(orders_of<start_order>(simulate()).size(), 1U);
    unresponsive.insert(worker_id("a"));
    auto later = entry("b");
    later.vm = vm_id("vm-1");
    unresponsive.insert(worker_id("b"));
    leader.set_worker(later, now);
    ASSERT_TRUE(orders_of<start_order>(simulate(seconds(2))).empty());
    unresponsive.erase(worker_id("b"));
    const auto starts = orders_of<start_order>(simulate(seconds(2)));
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts.front().worker, worker_id("b"));
}

namespace
{

struct unanswered_start_test : scheduler_test
{
    // Starts a long-running task on worker "a", which does not respond.
    void order_to_silent_worker()
    {
        add_worker("a");
        leader.begin(now);
        simulate();
        unresponsive.insert(worker_id("a"));
        auto s = short_step(1);
        s.is_long_running = true;
        leader.add_job(make_job("j", s));
        const auto start =
            orders_of<start_order>(simulate(milliseconds(60))).at(0);
        leader.on_start_answer(start.worker, start.task, start.run,
                               start_answer::unknown, now);
    }

    static std::vector<stop_order> stops_on_a(const std::vector<order>& orders)
    {
        auto stops = orders_of<stop_order>(orders);
        std::erase_if(stops, [](const stop_order& stop) {
            return stop.worker != worker_id("a");
        });
        return stops;
    }
};

} // namespace

// Failure: a long-running task does not run for 13 s after a start without a
// response on a worker that has gone for good (LOST).
TEST_F(unanswered_start_test,
       lasting_task_ordered_to_a_gone_worker_restarts_in_time)
{
    order_to_silent_worker();
    simulate(seconds(4));
    leader.remove_worker(worker_id("a"), now);
    add_worker("b");
    const auto starts = orders_of<start_order>(simulate(milliseconds(2400)));
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts.front().worker, worker_id("b"));
}

// Failure: a start without a response is given up while the worker, which is
// only silent, may still execute it after a restart under its id.
TEST_F(unanswered_start_test, unanswered_start_on_a_listed_worker_is_waited_for)
{
    order_to_silent_worker();
    add_worker("b");
    EXPECT_TRUE(orders_of<start_order>(simulate(seconds(12))).empty());
    EXPECT_EQ(orders_of<start_order>(simulate(seconds(2))).size(), 1U);
}

// Failure: a malformed entry is taken for the end of its worker, which may
// still execute the start after a restart under its id.
TEST_F(unanswered_start_test,
       unanswered_start_beside_a_malformed_entry_is_waited_for)
{
    order_to_silent_worker();
    simulate(seconds(4));
    leader.remove_worker(worker_id("a"), now, entry_loss::malformed);
    add_worker("b");
    EXPECT_TRUE(orders_of<start_order>(simulate(seconds(8))).empty());
    EXPECT_EQ(orders_of<start_order>(simulate(seconds(2))).size(), 1U);
}

// Failure: the stop that tells a worker to refuse a start that was given up is
// lost, and the worker executes the start beside the run on another worker
// (TWICE).
TEST_F(unanswered_start_test,
       start_that_was_given_up_is_stopped_until_confirmed)
{
    order_to_silent_worker();
    const auto ordered_at = now;
    simulate(seconds(4));
    leader.remove_worker(worker_id("a"), now);
    add_worker("b");
    const auto restarts = orders_of<start_order>(simulate(milliseconds(2400)));
    ASSERT_EQ(restarts.size(), 1U);
    const auto given_up_run = restarts.front().run - 1;
    unresponsive.clear();
    add_worker("a");
    const auto stops = stops_on_a(simulate(milliseconds(2000)));
    // At once, and again at intervals of 0.7 s.
    ASSERT_EQ(stops.size(), 3U);
    EXPECT_TRUE(std::ranges::all_of(stops, [&](const stop_order& stop) {
        return stop.run == given_up_run;
    }));
    leader.on_stop_confirmed(worker_id("a"), stops.front().task, given_up_run,
                             now);
    EXPECT_TRUE(stops_on_a(simulate(seconds(2))).empty());
    EXPECT_LT(now - ordered_at, scheduler_options().max_order_delay);
}

// Failure: a stop that is never confirmed is sent for ever.
TEST_F(unanswered_start_test,
       start_that_was_given_up_is_stopped_while_it_counts)
{
    order_to_silent_worker();
    const auto ordered_at = now;
    simulate(seconds(4));
    leader.remove_worker(worker_id("a"), now);
    add_worker("b");
    simulate(milliseconds(2400));
    unresponsive.clear();
    add_worker("a");
    const auto latest = ordered_at + scheduler_options().max_order_delay;
    EXPECT_GE(stops_on_a(simulate(latest - now)).size(), 8U);
    EXPECT_TRUE(stops_on_a(simulate(seconds(3))).empty());
    EXPECT_TRUE(leader.fleet().at(worker_id("a")).given_up.empty());
}

// Failure: a worker that restarts under its id behind a cut executes a late
// start beside the run on another worker (TWICE): it has left the list, so that
// the task is started again before the run's own lease can have expired.
TEST_F(unanswered_start_test,
       late_start_on_a_restarted_worker_behind_a_cut_runs_alone)
{
    order_to_silent_worker();
    const auto ordered_at = now;
    fake_worker late;
    late.entry = entry("a");
    late.restart(now + seconds(1));
    add_worker("b");
    simulate(seconds(4));
    leader.remove_worker(worker_id("a"), now);
    simulate(seconds(1));
    start_order order{worker_id("a"),
                      {job_id("j"), 0, 0, 0},
                      1,
                      "",
                      "",
                      worker_clock(std::chrono::duration_cast<worker_clock>(
                          ordered_at.time_since_epoch())) +
                          milliseconds(2500),
                      ""};
    ASSERT_TRUE(late.start(order, 1, {1000, 1000, 0}, seconds(60), false, now)
                    .has_begun);
    for (int i = 0; i < 100; ++i)
    {
        const auto starts = orders_of<start_order>(simulate(milliseconds(100)));
        late.advance(now);
        ASSERT_TRUE(starts.empty() || late.running().empty())
            << "started again " << (now - ordered_at).count() / 1000
            << " ms after the order";
    }
}

// Failure: a leader that may have been superseded starts tasks.
TEST_F(scheduler_test, nothing_starts_while_the_lead_is_in_doubt)
{
    add_worker("a");
    leader.begin(now);
    simulate();
    leader.add_job(make_job("j", short_step(1)));
    EXPECT_TRUE(
        orders_of<start_order>(
            leader.decide(now, milliseconds(0),
                          {.may_start = false, .may_extend_leases = true}))
            .empty());
}

// Failure: polls continue when the leases must expire.
TEST_F(scheduler_test, leases_are_not_extended_when_they_must_expire)
{
    add_worker("a");
    leader.begin(now);
    leader.add_job(make_job("j", short_step(1)));
    simulate();
    now += seconds(3);
    EXPECT_TRUE(
        orders_of<poll_order>(
            leader.decide(now, milliseconds(0),
                          {.may_start = false, .may_extend_leases = false}))
            .empty());
}

// Failure: a worker that has moved to another address is never used again,
// because an order to the earlier address was refused after its new entry
// arrived.
TEST_F(scheduler_test, refusal_at_an_earlier_address_does_not_unlist_a_worker)
{
    const auto start = order_to_unresponsive_worker();
    auto moved = entry("a");
    moved.address = "10.0.0.2:80";
    leader.set_worker(moved, now);
    leader.on_start_answer(worker_id("a"), start.task, start.run,
                           start_answer::other_worker, now);
    unresponsive.clear();
    EXPECT_EQ(orders_of<start_order>(simulate(seconds(2))).size(), 1U);
}

// Failure: a worker is still used although another one has its address.
TEST_F(scheduler_test, refusal_at_the_listed_address_unlists_a_worker)
{
    const auto start = order_to_unresponsive_worker();
    leader.on_start_answer(worker_id("a"), start.task, start.run,
                           start_answer::other_worker, now);
    unresponsive.clear();
    EXPECT_TRUE(orders_of<start_order>(simulate(seconds(2))).empty());
}

// Failure: a restarted worker is told to forget ended runs by a number of its
// previous incarnation, so that a finished task runs again (soak seed 3).
TEST_F(scheduler_test, ends_are_acknowledged_once)
{
    add_worker("a");
    leader.begin(now);
    leader.add_job(make_job("j", short_step(2)));
    const auto starts = orders_of<start_order>(simulate(milliseconds(100)));
    ASSERT_EQ(starts.size(), 2U);
    const worker_id a("a");
    running[a].pop_back();
    ended[a] = {{7, starts[1].task, starts[1].run, run_end::done, ""}};
    simulate(milliseconds(100));
    ended[a].clear();
    simulate(milliseconds(300));
    EXPECT_EQ(std::ranges::count(acknowledged, 7U), 1);
    EXPECT_EQ(acknowledged.back(), 0U);
}

// Failure: the same after a period without responses, in which the worker may
// have restarted.
TEST_F(scheduler_test, nothing_is_acknowledged_after_failed_polls)
{
    add_worker("a");
    leader.begin(now);
    leader.add_job(make_job("j", short_step(2)));
    const auto starts = orders_of<start_order>(simulate(milliseconds(100)));
    const worker_id a("a");
    running[a].pop_back();
    ended[a] = {{7, starts[1].task, starts[1].run, run_end::done, ""}};
    now += milliseconds(50);
    leader.on_report(a, report_of(a), now, now);
    leader.take_changes();
    leader.on_changes_stored(now);
    leader.on_poll_failed(a, now);
    acknowledged.clear();
    unresponsive.insert(a);
    simulate(seconds(2));
    EXPECT_GT(acknowledged.size(), 1U);
    EXPECT_TRUE(std::ranges::all_of(
        acknowledged, [](std::uint64_t number) { return number == 0; }));
}

// Failure: a start goes to a worker whose clock and state are known only from
// its previous incarnation, so that neither deadline nor stop bounds it.
TEST_F(scheduler_test, restarted_worker_is_polled_before_a_start)
{
    add_worker("a");
    leader.begin(now);
    simulate();
    unresponsive.insert(worker_id("a"));
    auto restarted = entry("a");
    restarted.incarnation = 2;
    leader.set_worker(restarted, now);
    leader.add_job(make_job("j", short_step(1)));
    EXPECT_TRUE(orders_of<start_order>(simulate()).empty());
    unresponsive.clear();
    EXPECT_EQ(orders_of<start_order>(simulate(seconds(1))).size(), 1U);
}
