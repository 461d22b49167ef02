// Guards against a task that runs on a second worker, or after its end was
// acknowledged, because a later process of the first worker executes a start
// order that got no response (TWICE). What was said to the former process does
// not bind the later one.
#include <algorithm>

#include "scheduler_fixture.hpp"
#include "store_clock_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const worker_id worker_a("a");

// The start of a task on "a" gets no response; "b" has room for it.
class start_binding_test : public scheduler_test
{
protected:
    void order_without_response(bool is_long_running = false)
    {
        add_worker("a");
        leader.begin(now);
        leader.set_store_clock(store_clock_at(now));
        simulate();
        unresponsive.insert(worker_a);
        auto s = short_step(1);
        s.is_long_running = is_long_running;
        leader.add_job(make_job("j", s));
        start = orders_of<start_order>(simulate(milliseconds(60))).at(0);
        ordered_at = now;
        add_worker("b");
        answer(start_answer::unknown);
    }

    void answer(start_answer response)
    {
        leader.on_start_answer(start.worker, start.task, start.run, response,
                               now);
    }

    // The repeated order is executed, and its run ends.
    void repeat_and_end(run_end how)
    {
        unresponsive.clear();
        simulate(milliseconds(200));
        ASSERT_EQ(running[worker_a].size(), 1U);
        running[worker_a].clear();
        ended[worker_a] = {{1, start.task, start.run, how, ""}};
    }

    // "a" is a new process, which knows nothing of the former one.
    void restart_a()
    {
        running[worker_a].clear();
        ended[worker_a].clear();
        report_incarnation = 2;
    }

    static std::vector<start_order>
    starts_elsewhere(const std::vector<order>& orders)
    {
        auto starts = orders_of<start_order>(orders);
        std::erase_if(starts, [](const start_order& start) {
            return start.worker == worker_a;
        });
        return starts;
    }

    std::vector<std::uint64_t> acknowledged_within(duration time)
    {
        acknowledged.clear();
        simulate(time);
        std::vector<std::uint64_t> out;
        std::ranges::copy_if(acknowledged, std::back_inserter(out),
                             [](std::uint64_t number) { return number > 0; });
        return out;
    }

    duration time_until(duration since_order) const
    {
        return ordered_at + since_order - now;
    }

    start_order start;
    time_point ordered_at{};
};

} // namespace

// Failure: the task of a start without a response begins seconds later, or on
// another worker (review/11).
TEST_F(start_binding_test, unanswered_start_is_repeated_at_its_worker)
{
    order_without_response();
    unresponsive.clear();
    const auto orders = simulate(milliseconds(100));
    const auto starts = orders_of<start_order>(orders);
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].worker, worker_a);
    EXPECT_EQ(starts[0].run, start.run);
    EXPECT_GT(starts[0].deadline, start.deadline);
    EXPECT_TRUE(orders_of<stop_order>(orders).empty());
}

// Failure: a worker that reports the run gets a second order for it, whose late
// execution would have to be waited for.
TEST_F(start_binding_test, executed_start_is_not_repeated)
{
    order_without_response();
    simulate(milliseconds(200));
    unresponsive.clear();
    running[worker_a] = {{start.task, start.run, "", 50, -1}};
    EXPECT_TRUE(orders_of<start_order>(simulate(seconds(2))).empty());
    EXPECT_TRUE(leader.fleet().at(worker_a).unanswered.empty());
}

// Failure: the task of a withdrawn start runs elsewhere while a later process
// of the worker may execute the start. Its worker cannot take it at first.
TEST_F(start_binding_test, task_of_a_withdrawn_start_stays_with_its_worker)
{
    order_without_response();
    unresponsive.clear();
    leader.set_closed_zones({entry("a").zone});
    const auto stops = orders_of<stop_order>(simulate());
    ASSERT_FALSE(stops.empty());
    EXPECT_EQ(stops[0].run, start.run);
    leader.on_stop_confirmed(worker_a, start.task, start.run, now);
    EXPECT_TRUE(
        orders_of<start_order>(simulate(time_until(seconds(12)))).empty());
    EXPECT_EQ(starts_elsewhere(simulate(seconds(2))).size(), 1U);
}

// Failure: the same, and the task waits although its worker can take it again.
TEST_F(start_binding_test, worker_that_can_take_the_task_again_gets_it)
{
    order_without_response();
    unresponsive.clear();
    leader.set_closed_zones({entry("a").zone});
    simulate();
    leader.on_stop_confirmed(worker_a, start.task, start.run, now);
    simulate(seconds(1));
    leader.set_closed_zones({});
    const auto starts = orders_of<start_order>(simulate());
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].worker, worker_a);
    EXPECT_GT(starts[0].run, start.run);
}

// Failure: a worker that reports, but answers no start, keeps the task for
// ever.
TEST_F(start_binding_test, task_leaves_a_worker_that_answers_no_start)
{
    order_without_response();
    unresponsive.clear();
    std::size_t orders_to_a = 1;
    std::size_t starts_on_b = 0;
    while (now < ordered_at + seconds(16))
    {
        now += milliseconds(20);
        for (const auto& o : leader.decide(now, milliseconds(0), {}))
        {
            const auto* const sent = std::get_if<start_order>(&o);
            if (sent == nullptr)
            {
                respond(o);
            }
            else if (sent->worker == worker_a)
            {
                ++orders_to_a;
                answer(start_answer::unknown);
            }
            else
            {
                ++starts_on_b;
            }
            if (const auto* const stop = std::get_if<stop_order>(&o))
            {
                leader.on_stop_confirmed(stop->worker, stop->task, stop->run,
                                         now);
            }
        }
        leader.take_changes();
        leader.on_changes_stored(now);
    }
    EXPECT_LE(orders_to_a, 8U);
    EXPECT_EQ(starts_on_b, 1U);
}

// Failure: a refusal of the repeated order counts as one of the first order.
TEST_F(start_binding_test, refused_repetition_leaves_the_first_order_in_doubt)
{
    order_without_response();
    simulate(milliseconds(40));
    answer(start_answer::no_room);
    EXPECT_TRUE(starts_elsewhere(simulate(time_until(seconds(12)))).empty());
}

// Failure: the run of the repeated order is lost with its process, and the task
// runs elsewhere while the later process executes the first order.
TEST_F(start_binding_test, task_stays_with_a_worker_that_restarts)
{
    order_without_response();
    unresponsive.clear();
    simulate();
    ASSERT_EQ(running[worker_a].size(), 1U);
    restart_a();
    const auto orders = simulate(seconds(1));
    EXPECT_TRUE(starts_elsewhere(orders).empty());
    const auto starts = orders_of<start_order>(orders);
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_GT(starts[0].restarts, start.restarts);
}

// Failure: the worker is cut off, crashes and executes the first order behind
// the cut, whose run holds a lease beyond the latest time of the order.
TEST_F(start_binding_test, task_of_a_silent_worker_waits_for_a_late_lease)
{
    order_without_response();
    unresponsive.clear();
    simulate();
    unresponsive.insert(worker_a);
    EXPECT_TRUE(starts_elsewhere(simulate(time_until(seconds(19)))).empty());
    EXPECT_EQ(starts_elsewhere(simulate(seconds(2))).size(), 1U);
}

// Failure: the worker forgets that the task is done, and its later process
// executes the first order.
TEST_F(start_binding_test, end_is_not_acknowledged_while_a_start_is_in_doubt)
{
    order_without_response();
    repeat_and_end(run_end::done);
    EXPECT_TRUE(acknowledged_within(time_until(seconds(12))).empty());
    // Callers need not wait.
    EXPECT_EQ(leader.registry().live().size(), 0U);
    EXPECT_FALSE(acknowledged_within(seconds(2)).empty());
}

// Failure: an end that is held back makes the leader poll its worker without a
// pause, because the worker answers at once while it lists an end.
TEST_F(start_binding_test, worker_with_an_end_held_back_is_polled_at_intervals)
{
    order_without_response();
    repeat_and_end(run_end::done);
    simulate();
    const auto polls = orders_of<poll_order>(simulate(seconds(4)));
    EXPECT_LE(polls.size(), 11U);
}

// Failure: a task whose run has failed is tried elsewhere while the first order
// may still be executed.
TEST_F(start_binding_test, failed_task_is_tried_again_on_its_worker)
{
    order_without_response();
    repeat_and_end(run_end::failed);
    const auto orders = simulate(seconds(3));
    EXPECT_TRUE(starts_elsewhere(orders).empty());
}

// Failure: the next leader knows nothing of the first order, whose worker
// responds to it without the run (a killed leader in review/11).
TEST_F(start_binding_test, next_leader_keeps_the_task_on_its_worker)
{
    fleet_record record{worker_a, std::nullopt, vm_id()};
    const auto j = make_job("j", short_step(1));
    const task_key task{j.id, 0, 0, 0};
    record.unanswered_starts = {{task, store_time_at(now + seconds(10)), 0}};
    job_progress progress;
    progress.state = job_state::running;
    progress.ordered.emplace();
    progress.ordered->push_back({0, 0, 0});
    leader.recover_job(j, progress);
    leader.recover_fleet({record});
    leader.set_store_clock(store_clock_at(now));
    leader.begin(now, {true, 1, {}});
    auto leaving = entry("a");
    leaving.is_leaving = true;
    leader.set_worker(leaving, now);
    add_worker("b");
    EXPECT_TRUE(orders_of<start_order>(simulate(seconds(9))).empty());
    EXPECT_EQ(starts_elsewhere(simulate(seconds(2))).size(), 1U);
}

// Failure: the starts without a response on a worker that responds are not
// recorded for the next leader.
TEST_F(start_binding_test, unanswered_start_is_recorded_for_the_next_leader)
{
    order_without_response();
    unresponsive.clear();
    std::vector<fleet_record> workers;
    for (int i = 0; i < 10; ++i)
    {
        now += milliseconds(20);
        std::ranges::for_each(leader.decide(now, milliseconds(0), {}),
                              [this](const order& o) { respond(o); });
        for (const auto& part : leader.take_changes().fleet)
        {
            if (part.number == fleet_part_of(worker_a))
            {
                workers = part.workers;
            }
        }
        leader.on_changes_stored(now);
    }
    const auto record =
        std::ranges::find(workers, worker_a, &fleet_record::worker);
    ASSERT_NE(record, workers.end());
    ASSERT_EQ(record->unanswered_starts.size(), 1U);
    EXPECT_EQ(record->unanswered_starts[0].task, start.task);
    // Any other task may run there.
    EXPECT_FALSE(record->runs);
    const auto decoded = decode_fleet(encode_fleet(workers));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, workers);
}

// Failure: a long-running task waits for 13 s for a worker that responds and
// cannot take it (LOST).
TEST_F(start_binding_test, lasting_task_leaves_a_worker_that_cannot_take_it)
{
    order_without_response(true);
    unresponsive.clear();
    auto leaving = entry("a");
    leaving.is_leaving = true;
    leader.set_worker(leaving, now);
    simulate();
    leader.on_stop_confirmed(worker_a, start.task, start.run, now);
    EXPECT_EQ(starts_elsewhere(simulate(seconds(1))).size(), 1U);
}

// Failure: the task waits for a worker that has ended for good, because a later
// one runs on its VM.
TEST_F(start_binding_test, task_leaves_a_worker_whose_vm_runs_another_one)
{
    order_without_response();
    simulate(seconds(1));
    auto replaced = entry("a");
    replaced.vm = vm_id("vm");
    leader.set_worker(replaced, now);
    auto later = entry("c");
    later.vm = vm_id("vm");
    leader.set_worker(later, now);
    EXPECT_EQ(starts_elsewhere(simulate(seconds(1))).size(), 1U);
}
