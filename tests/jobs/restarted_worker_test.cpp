// Guards against tasks that run twice because a worker that has restarted under
// its id executes orders that were sent to its former process.
#include <algorithm>
#include <variant>

#include "scheduler_fixture.hpp"
#include "store_clock_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// An order to the former process may still be executed within this time. It is
// twice as long as a lease.
constexpr duration late_order_time = seconds(12);

class restarted_worker_test : public scheduler_test
{
protected:
    // The only run is ordered to worker "a", which responds to no poll; "b" has
    // room for it.
    start_order order_to_a()
    {
        auto order = order_to_unresponsive_worker();
        leader.set_store_clock(store_clock_at(now));
        add_worker("b");
        return order;
    }

    void report_restart(const start_order& order)
    {
        jobs::worker_report report;
        report.incarnation = 2;
        report.clock = worker_clock(800);
        report.running = {{order.task, order.run, "", 50, -1}};
        leader.on_report(worker_id("a"), report, now - milliseconds(10), now);
    }

    static std::vector<start_order> starts_in(const std::vector<order>& orders)
    {
        return orders_of<start_order>(orders);
    }

    static std::vector<poll_order> polls_of_a(const std::vector<order>& orders)
    {
        auto polls = orders_of<poll_order>(orders);
        std::erase_if(polls, [](const poll_order& poll) {
            return poll.worker != worker_id("a");
        });
        return polls;
    }
};

} // namespace

// Failure: the leader takes the leases on a worker for expired as soon as it
// learns of its restart, although the later process has executed a late start.
TEST_F(restarted_worker_test, run_of_a_late_start_keeps_its_lease)
{
    const auto order = order_to_a();
    leader.on_start_answer(worker_id("a"), order.task, order.run,
                           start_answer::unknown, now);
    // Long enough for the end of the leases to be stored, after which no poll
    // extends them.
    simulate(seconds(4));
    report_restart(order);
    EXPECT_TRUE(starts_in(simulate(late_order_time)).empty());
}

// Failure: a worker accepts a start after a restart that the leader has not
// noticed, and grants a longer lease than the deadline says by the clock of its
// former process.
TEST_F(restarted_worker_test, clock_in_a_start_response_shows_the_restart)
{
    const auto order = order_to_a();
    leader.on_start_answer(worker_id("a"), order.task, order.run,
                           {start_answer::accepted, worker_clock(500)}, now);
    EXPECT_TRUE(starts_in(simulate(late_order_time)).empty());
}

// Failure: the same, for the run of a worker that has not restarted, so that
// its task waits longer than its lease.
TEST_F(restarted_worker_test, clock_of_the_same_process_shows_no_restart)
{
    const auto order = order_to_a();
    const auto clock =
        std::chrono::duration_cast<worker_clock>(now.time_since_epoch());
    leader.on_start_answer(worker_id("a"), order.task, order.run,
                           {start_answer::accepted, clock}, now);
    EXPECT_EQ(starts_in(simulate(milliseconds(6800))).size(), 1U);
}

// Failure: tasks on a restarted worker that falls silent later wait for orders
// which it refuses.
TEST_F(restarted_worker_test, leases_are_bounded_once_an_order_was_executed)
{
    const auto order = order_to_a();
    leader.on_start_answer(worker_id("a"), order.task, order.run,
                           start_answer::unknown, now);
    simulate(seconds(1));
    running[worker_id("a")] = {{order.task, order.run, "", 50, -1}};
    report_incarnation = 2;
    unresponsive.clear();
    simulate(seconds(2));
    unresponsive.insert(worker_id("a"));
    EXPECT_EQ(starts_in(simulate(seconds(7))).size(), 1U);
}

namespace
{

scheduler_options options_with_long_leases()
{
    scheduler_options options;
    options.worker_max_lease = seconds(10);
    return options;
}

// Workers grant longer leases than the leader asks for.
class long_lease_test : public scheduler_test
{
protected:
    long_lease_test() : scheduler_test(options_with_long_leases()) {}
};

} // namespace

// Failure: a worker that restarted unnoticed keeps a run for longer than the
// next leader expects, and the task is started a second time after a takeover.
TEST_F(long_lease_test, run_by_the_clock_of_a_former_process_is_stopped)
{
    const auto order = order_to_unresponsive_worker();
    leader.on_start_answer(worker_id("a"), order.task, order.run,
                           {start_answer::accepted, worker_clock(500)}, now);
    const auto stops = orders_of<stop_order>(simulate(milliseconds(40)));
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].run, order.run);
}

// Failure: the same with a run that is started after the restart was noticed,
// on a worker that holds a longer lease.
TEST_F(long_lease_test, nothing_starts_on_a_restarted_worker_with_longer_leases)
{
    add_worker("a");
    leader.begin(now);
    simulate();
    report_incarnation = 2;
    auto later = entry("a");
    later.incarnation = 2;
    leader.set_worker(later, now);
    leader.add_job(make_job("j", short_step(1)));
    EXPECT_TRUE(orders_of<start_order>(simulate(seconds(4))).empty());
    EXPECT_EQ(orders_of<start_order>(simulate(seconds(1))).size(), 1U);
}

// Failure: a restarted worker cannot tell orders to it from those to its former
// process, because their fencing tokens are equal.
TEST_F(restarted_worker_test, orders_name_the_restarts)
{
    add_worker("a");
    leader.begin(now);
    for (const auto& poll : polls_of_a(simulate()))
    {
        EXPECT_EQ(poll.restarts, 0U);
    }
    auto later = entry("a");
    later.incarnation = 2;
    leader.set_worker(later, now);
    report_incarnation = 2;
    const auto polls = polls_of_a(simulate());
    ASSERT_FALSE(polls.empty());
    EXPECT_TRUE(std::ranges::all_of(
        polls, [](const poll_order& poll) { return poll.restarts > 0; }));
    leader.add_job(make_job("j", short_step(1)));
    const auto starts = starts_in(simulate());
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_GE(starts[0].restarts, polls.back().restarts);
}

// Failure: a worker that was forgotten after a restart and joins again gets
// orders with a lower token than before, refuses them, and the leader gives up
// the lead.
TEST_F(restarted_worker_test, token_does_not_fall_when_a_worker_joins_again)
{
    add_worker("a");
    leader.begin(now);
    simulate();
    report_incarnation = 2;
    auto later = entry("a");
    later.incarnation = 2;
    leader.set_worker(later, now);
    const auto polls = polls_of_a(simulate());
    ASSERT_FALSE(polls.empty());
    leader.remove_worker(worker_id("a"), now);
    simulate(seconds(20));
    ASSERT_FALSE(leader.fleet().contains(worker_id("a")));
    leader.set_worker(later, now);
    const auto later_polls = polls_of_a(simulate());
    ASSERT_FALSE(later_polls.empty());
    EXPECT_GE(later_polls[0].restarts, polls.back().restarts);
}

// Failure: a leader gives up the lead when a worker refuses an order that was
// sent before its restart was noticed.
TEST_F(restarted_worker_test, refusal_of_an_earlier_order_does_not_end_the_lead)
{
    const auto order = order_to_a();
    simulate(milliseconds(40));
    auto later = entry("a");
    later.incarnation = 2;
    leader.set_worker(later, now);
    leader.on_poll_refused(worker_id("a"), now);
    leader.on_start_answer(worker_id("a"), order.task, order.run,
                           start_answer::superseded, now);
    EXPECT_FALSE(leader.is_superseded());
    simulate(milliseconds(40));
    leader.on_poll_refused(worker_id("a"), now);
    EXPECT_TRUE(leader.is_superseded());
}

// Failure: a token does not exceed those of earlier leaders and processes.
TEST(order_fence, rises_with_the_epoch_and_with_restarts)
{
    EXPECT_LT(order_fence(7, 0), order_fence(7, 1));
    EXPECT_LT(order_fence(7, 1000), order_fence(8, 0));
    EXPECT_LT(order_fence(7, ~std::uint32_t{0}), order_fence(8, 0));
    // The largest whole number that JSON parsers keep exactly.
    constexpr std::uint64_t max_exact = 1ULL << 53U;
    EXPECT_LT(order_fence(1ULL << 36U, ~std::uint32_t{0}), max_exact);
}
