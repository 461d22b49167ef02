// Regression tests for scheduler faults seen on the platform, each with the
// shortest sequence of events that causes the fault.
#include <algorithm>

#include <gtest/gtest.h>

#include "jobs/jobs.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

class scheduler_test : public testing::Test
{
protected:
    scheduler_test() : leader({}, 1)
    {
        leader.set_services({{service_id("s"), {}}});
    }

    worker_entry entry(const std::string& name)
    {
        worker_entry e;
        e.id = worker_id(name);
        e.service = service_id("s");
        e.zone = availability_zone_id("zone-" + name);
        e.capacity = {16000, 64000, 0};
        e.incarnation = 1;
        return e;
    }

    void add_worker(const std::string& name)
    {
        leader.set_worker(entry(name), now);
    }

    job make_job(const std::string& name, const step& s)
    {
        job j;
        j.id = job_id(name);
        j.policy.service = service_id("s");
        j.policy.max_attempts = 2;
        j.policy.queue = "q";
        j.steps = {s};
        return j;
    }

    // Workers respond to all polls with their active runs; changes are stored.
    std::vector<order> simulate(duration time = milliseconds(300))
    {
        std::vector<order> all_orders;
        const auto end = now + time;
        while (now < end)
        {
            now += milliseconds(20);
            for (const auto& o : leader.decide(now, milliseconds(0), {}))
            {
                all_orders.push_back(o);
                respond(o);
            }
            if (leader.has_changes())
            {
                leader.take_changes();
                leader.on_changes_stored(now);
            }
        }
        return all_orders;
    }

    void respond(const order& o)
    {
        if (const auto* const start = std::get_if<start_order>(&o))
        {
            if (unresponsive.contains(start->worker))
            {
                return;
            }
            running[start->worker].push_back(
                {start->task, start->run, "", 50, -1});
            leader.on_start_answer(start->worker, start->task, start->run,
                                   start_answer::accepted, now);
        }
        if (const auto* const poll = std::get_if<poll_order>(&o))
        {
            acknowledged.push_back(poll->acknowledged);
            if (unresponsive.contains(poll->worker))
            {
                leader.on_poll_failed(poll->worker, now);
                return;
            }
            leader.on_report(poll->worker, report_of(poll->worker), now, now);
        }
    }

    jobs::worker_report report_of(const worker_id& id)
    {
        jobs::worker_report r;
        r.clock =
            std::chrono::duration_cast<worker_clock>(now.time_since_epoch());
        r.incarnation = 1;
        r.running = running[id];
        r.ended = ended[id];
        return r;
    }

    template <typename Order>
    static std::vector<Order> orders_of(const std::vector<order>& orders)
    {
        std::vector<Order> out;
        for (const auto& o : orders)
        {
            if (const auto* const found = std::get_if<Order>(&o))
            {
                out.push_back(*found);
            }
        }
        return out;
    }

    scheduler leader;
    time_point now{seconds(1000)};
    std::set<worker_id> unresponsive;
    std::map<worker_id, std::vector<running_task>> running;
    std::map<worker_id, std::vector<ended_run>> ended;
    std::vector<std::uint64_t> acknowledged;
};

step short_step(std::uint32_t count)
{
    step s;
    s.task_count = count;
    s.size = {1000, 1000, 0};
    s.estimate = milliseconds(1000);
    return s;
}

} // namespace

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

// Failure: a start without a response is forgotten, or repeated elsewhere
// before it is certainly withdrawn.
TEST_F(scheduler_test, unanswered_start_is_withdrawn_first)
{
    add_worker("a");
    leader.begin(now);
    simulate();
    unresponsive.insert(worker_id("a"));
    leader.add_job(make_job("j", short_step(1)));
    const auto start = orders_of<start_order>(simulate(milliseconds(60))).at(0);
    leader.on_start_answer(start.worker, start.task, start.run,
                           start_answer::unknown, now);
    unresponsive.clear();
    auto orders = simulate(milliseconds(600));
    const auto stops = orders_of<stop_order>(orders);
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops.front().run, start.run);
    EXPECT_TRUE(orders_of<start_order>(orders).empty());
    leader.on_stop_confirmed(start.worker, start.task, start.run, now);
    const auto restarts = orders_of<start_order>(simulate(milliseconds(600)));
    ASSERT_EQ(restarts.size(), 1U);
    EXPECT_GT(restarts.front().run, start.run);
}

// Failure: a task starts in a zone that is out of service.
TEST_F(scheduler_test, closed_zone_gets_no_tasks)
{
    add_worker("a");
    leader.begin(now);
    leader.set_closed_zones({availability_zone_id("zone-a")});
    leader.add_job(make_job("j", short_step(1)));
    EXPECT_TRUE(orders_of<start_order>(simulate()).empty());
    leader.set_closed_zones({});
    EXPECT_EQ(orders_of<start_order>(simulate()).size(), 1U);
}

// Failure: a leaving worker gets new tasks, or keeps a long-running one until
// it shuts down.
TEST_F(scheduler_test, leaving_worker_is_offloaded)
{
    add_worker("a");
    leader.begin(now);
    auto s = short_step(1);
    s.is_long_running = true;
    leader.add_job(make_job("j", s));
    ASSERT_EQ(orders_of<start_order>(simulate()).size(), 1U);
    auto leaving = entry("a");
    leaving.is_leaving = true;
    leader.set_worker(leaving, now);
    leader.add_job(make_job("k", short_step(1)));
    const auto orders = simulate();
    EXPECT_EQ(orders_of<stop_order>(orders).size(), 1U);
    EXPECT_TRUE(orders_of<start_order>(orders).empty());
}

// Failure: tasks of a cancelled job keep running, or the job is shown in
// another state.
TEST_F(scheduler_test, cancelled_job_is_stopped)
{
    add_worker("a");
    leader.begin(now);
    leader.add_job(make_job("j", short_step(3)));
    ASSERT_EQ(orders_of<start_order>(simulate()).size(), 3U);
    leader.cancel_job(job_id("j"), now);
    EXPECT_EQ(orders_of<stop_order>(simulate()).size(), 3U);
    EXPECT_EQ(leader.registry().over().at(job_id("j")), job_state::cancelled);
}

// Failure: a task that always fails is started without limit, or once more
// than the queue allows.
TEST_F(scheduler_test, job_fails_after_its_attempts)
{
    add_worker("a");
    leader.begin(now);
    leader.add_job(make_job("j", short_step(1)));
    std::size_t starts = 0;
    for (std::uint64_t number = 1; number < 5; ++number)
    {
        for (const auto& start : orders_of<start_order>(simulate()))
        {
            ++starts;
            running[start.worker].clear();
            ended[start.worker] = {
                {number, start.task, start.run, run_end::failed, ""}};
        }
    }
    EXPECT_EQ(starts, 2U);
    EXPECT_EQ(leader.registry().over().at(job_id("j")), job_state::failed);
}

// Failure: more tasks of a step share a worker than the job allows.
TEST_F(scheduler_test, tasks_are_spread_as_asked)
{
    add_worker("a");
    add_worker("b");
    leader.begin(now);
    auto s = short_step(4);
    s.max_per_worker = 1;
    leader.add_job(make_job("j", s));
    const auto starts = orders_of<start_order>(simulate());
    ASSERT_EQ(starts.size(), 2U);
    EXPECT_NE(starts[0].worker, starts[1].worker);
}

// Failure: only a part of a gang is started.
TEST_F(scheduler_test, gang_starts_whole_or_not_at_all)
{
    add_worker("a");
    leader.begin(now);
    auto s = short_step(20);
    s.is_gang = true;
    leader.add_job(make_job("j", s));
    EXPECT_TRUE(orders_of<start_order>(simulate()).empty());
    add_worker("b");
    const auto starts = orders_of<start_order>(simulate());
    ASSERT_EQ(starts.size(), 20U);
    EXPECT_TRUE(std::ranges::all_of(starts, [&](const start_order& o) {
        return o.run == starts.front().run;
    }));
}

// Failure: an occurrence starts before it is due.
TEST_F(scheduler_test, occurrence_waits_for_its_time)
{
    add_worker("a");
    leader.begin(now);
    auto j = make_job("j", short_step(1));
    j.repeats = {2, milliseconds(1000), milliseconds(500)};
    leader.add_job(j);
    simulate();
    const auto early = leader.decide(now, milliseconds(990), {});
    EXPECT_TRUE(orders_of<start_order>(early).empty());
    // It is ordered only after the store lists it.
    EXPECT_TRUE(
        orders_of<start_order>(leader.decide(now, milliseconds(1060), {}))
            .empty());
    leader.take_changes();
    leader.on_changes_stored(now);
    const auto due = leader.decide(now, milliseconds(1061), {});
    EXPECT_EQ(orders_of<start_order>(due).size(), 1U);
}

// Failure: fill tasks are added beside a serving task that is over its target,
// each at full pace until the next report, and the serving task stays over its
// target (HARM, seen in a period of low load).
TEST_F(scheduler_test, no_fill_task_is_added_beside_a_task_over_its_target)
{
    add_worker("a");
    leader.begin(now);
    auto serving = short_step(1);
    serving.is_long_running = true;
    serving.tail_target = milliseconds(18);
    leader.add_job(make_job("serving", serving));
    ASSERT_EQ(orders_of<start_order>(simulate()).size(), 1U);
    running[worker_id("a")].front().measurement = 30;
    simulate(seconds(2));
    auto fill = short_step(2);
    fill.fills = true;
    leader.add_job(make_job("fill", fill));
    EXPECT_TRUE(orders_of<start_order>(simulate(seconds(2))).empty());
    running[worker_id("a")].front().measurement = 4;
    EXPECT_EQ(orders_of<start_order>(simulate(seconds(4))).size(), 2U);
}

// Failure: reports of a serving task that is over its target scatter, and each
// one below the target begins the wait for a suspension anew (HARM on a hunted
// day: over target for four seconds on end beside fill tasks at work).
TEST_F(scheduler_test, scattered_reports_do_not_delay_a_suspension)
{
    add_worker("a");
    leader.begin(now);
    auto serving = short_step(1);
    serving.is_long_running = true;
    serving.tail_target = milliseconds(18);
    leader.add_job(make_job("serving", serving));
    simulate();
    auto fill = short_step(1);
    fill.fills = true;
    leader.add_job(make_job("fill", fill));
    simulate();
    const auto serving_run =
        std::ranges::find_if(running[worker_id("a")], [](const auto& run) {
            return run.task.job == job_id("serving");
        });
    std::vector<pace_order> paces;
    for (int i = 0; i < 6 && paces.empty(); ++i)
    {
        serving_run->measurement = i % 2 == 0 ? 25 : 17;
        paces = orders_of<pace_order>(simulate(milliseconds(600)));
    }
    ASSERT_FALSE(paces.empty());
    EXPECT_EQ(paces.front().percent, 0);
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

// Failure: a worker that failed tasks of several jobs gets the next ones too.
TEST_F(scheduler_test, failing_worker_is_avoided)
{
    add_worker("a");
    leader.begin(now);
    leader.add_job(make_job("j", short_step(1)));
    leader.add_job(make_job("k", short_step(1)));
    const auto starts = orders_of<start_order>(simulate(milliseconds(100)));
    ASSERT_EQ(starts.size(), 2U);
    running.clear();
    std::uint64_t number = 0;
    for (const auto& start : starts)
    {
        ended[start.worker].push_back(
            {++number, start.task, start.run, run_end::failed, ""});
    }
    add_worker("b");
    const auto restarts = orders_of<start_order>(simulate(milliseconds(900)));
    EXPECT_EQ(restarts.size(), 2U);
    EXPECT_TRUE(std::ranges::all_of(restarts, [](const start_order& o) {
        return o.worker == worker_id("b");
    }));
}

// Failure: a lasting task waits until the end of an avoidance although the only
// worker with room is sound (LOST, workers gone from a nearly full fleet).
TEST_F(scheduler_test,
       lasting_task_takes_an_avoided_worker_if_no_other_has_room)
{
    add_worker("a");
    leader.begin(now);
    leader.add_job(make_job("j", short_step(1)));
    leader.add_job(make_job("k", short_step(1)));
    const auto starts = orders_of<start_order>(simulate(milliseconds(100)));
    ASSERT_EQ(starts.size(), 2U);
    running.clear();
    std::uint64_t number = 0;
    for (const auto& start : starts)
    {
        ended[start.worker].push_back(
            {++number, start.task, start.run, run_end::failed, ""});
    }
    simulate(milliseconds(100));
    auto s = short_step(1);
    s.is_long_running = true;
    leader.add_job(make_job("lasting", s));
    const auto later = orders_of<start_order>(simulate(milliseconds(1500)));
    ASSERT_EQ(later.size(), 1U);
    EXPECT_EQ(later.front().task.job, job_id("lasting"));
}

// Failure: the time for which a lasting task may wait begins anew when the
// leases on its lost worker have expired, and urgent tasks take the room
// (LOST).
TEST_F(scheduler_test, wait_of_a_lasting_task_begins_with_the_loss_of_its_run)
{
    auto whole_worker = short_step(1);
    whole_worker.size.processor_millis = 16000;
    auto lasting = whole_worker;
    lasting.is_long_running = true;
    add_worker("a");
    leader.begin(now);
    leader.add_job(make_job("lasting", lasting));
    ASSERT_EQ(orders_of<start_order>(simulate()).size(), 1U);
    add_worker("b");
    auto urgent = make_job("urgent", whole_worker);
    urgent.policy.slack = seconds(1'000'000);
    leader.add_job(urgent);
    const auto first = orders_of<start_order>(simulate());
    ASSERT_EQ(first.size(), 1U);
    urgent.id = job_id("urgent-2");
    leader.add_job(urgent);
    unresponsive.insert(worker_id("a"));
    for (int i = 0; i < 22; ++i)
    {
        // The urgent task makes progress.
        ++running[worker_id("b")].front().percent;
        simulate();
    }
    running[worker_id("b")].clear();
    ended[worker_id("b")].push_back(
        {1, first.front().task, first.front().run, run_end::done, ""});
    const auto next = orders_of<start_order>(simulate(seconds(1)));
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next.front().task.job, job_id("lasting"));
}

// Failure: a task of a queue with advice starts without a ticket, or on a
// worker that the advice did not name.
TEST_F(scheduler_test, queue_with_advice_starts_with_a_ticket)
{
    add_worker("a");
    add_worker("b");
    leader.begin(now);
    simulate();
    auto j = make_job("j", short_step(2));
    j.policy.needs_advice = true;
    leader.add_job(j);
    auto orders = simulate(milliseconds(100));
    EXPECT_TRUE(orders_of<start_order>(orders).empty());
    const auto requests = orders_of<advice_request>(orders);
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(to_text(requests[0].step), "j.0.0");
    EXPECT_EQ(requests[0].workers.size(), 2U);
    leader.on_advice(requests[0], {{{worker_id("b"), "t-1"}}, seconds(3)}, now);
    const auto starts = orders_of<start_order>(simulate(milliseconds(100)));
    ASSERT_EQ(starts.size(), 2U);
    for (const auto& start : starts)
    {
        EXPECT_EQ(start.worker, worker_id("b"));
        EXPECT_EQ(start.ticket, "t-1");
    }
}

// Failure: an advice request without a response is never repeated.
TEST_F(scheduler_test, advice_is_asked_for_again)
{
    add_worker("a");
    leader.begin(now);
    simulate();
    auto j = make_job("j", short_step(1));
    j.policy.needs_advice = true;
    leader.add_job(j);
    const auto requests =
        orders_of<advice_request>(simulate(milliseconds(100)));
    ASSERT_EQ(requests.size(), 1U);
    leader.on_advice_failed(requests[0], now);
    EXPECT_EQ(orders_of<advice_request>(simulate(milliseconds(400))).size(),
              1U);
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
