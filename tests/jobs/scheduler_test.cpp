// Guards against single mistakes of the scheduler that days on the platform
// have shown, each with the shortest run of events that leads to it.
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

    // Workers answer all looks with what they run; changes are stored.
    std::vector<order> settle(duration time = milliseconds(300))
    {
        std::vector<order> kept;
        const auto end = now + time;
        while (now < end)
        {
            now += milliseconds(20);
            for (const auto& o : leader.decide(now, milliseconds(0), {}))
            {
                kept.push_back(o);
                answer(o);
            }
            if (leader.has_changes())
            {
                leader.take_changes();
                leader.on_changes_stored(now);
            }
        }
        return kept;
    }

    void answer(const order& o)
    {
        if (const auto* const start = std::get_if<start_order>(&o))
        {
            if (silent.contains(start->worker))
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
            if (silent.contains(poll->worker))
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
    static std::vector<Order> of(const std::vector<order>& orders)
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
    std::set<worker_id> silent;
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

// Failure: a crashed worker's lasting task is never placed anew, because each
// look that it does not answer carries a later deadline (LOST, scale-2).
TEST_F(scheduler_test, tasks_of_a_silent_worker_are_placed_anew)
{
    add_worker("a");
    leader.begin(now);
    auto s = short_step(1);
    s.is_long_running = true;
    leader.add_job(make_job("j", s));
    ASSERT_EQ(of<start_order>(settle()).size(), 1U);
    silent.insert(worker_id("a"));
    leader.remove_worker(worker_id("a"), now);
    add_worker("b");
    const auto starts = of<start_order>(settle(seconds(9)));
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts.front().worker, worker_id("b"));
    EXPECT_GT(starts.front().run, 1U);
}

// Failure: a task is placed anew while its lease may still hold.
TEST_F(scheduler_test, tasks_of_a_silent_worker_wait_for_their_leases)
{
    add_worker("a");
    leader.begin(now);
    leader.add_job(make_job("j", short_step(1)));
    settle();
    silent.insert(worker_id("a"));
    add_worker("b");
    EXPECT_TRUE(of<start_order>(settle(seconds(5))).empty());
}

// Failure: a start that had no answer is forgotten, or repeated elsewhere
// before it is surely withdrawn.
TEST_F(scheduler_test, unanswered_start_is_withdrawn_first)
{
    add_worker("a");
    leader.begin(now);
    settle();
    silent.insert(worker_id("a"));
    leader.add_job(make_job("j", short_step(1)));
    const auto start = of<start_order>(settle(milliseconds(60))).at(0);
    leader.on_start_answer(start.worker, start.task, start.run,
                           start_answer::unknown, now);
    silent.clear();
    auto orders = settle(milliseconds(600));
    const auto stops = of<stop_order>(orders);
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops.front().run, start.run);
    EXPECT_TRUE(of<start_order>(orders).empty());
    leader.on_stop_confirmed(start.worker, start.task, start.run, now);
    const auto again = of<start_order>(settle(milliseconds(600)));
    ASSERT_EQ(again.size(), 1U);
    EXPECT_GT(again.front().run, start.run);
}

// Failure: a task starts in a zone that is out of service.
TEST_F(scheduler_test, closed_zone_gets_no_tasks)
{
    add_worker("a");
    leader.begin(now);
    leader.set_closed_zones({availability_zone_id("zone-a")});
    leader.add_job(make_job("j", short_step(1)));
    EXPECT_TRUE(of<start_order>(settle()).empty());
    leader.set_closed_zones({});
    EXPECT_EQ(of<start_order>(settle()).size(), 1U);
}

// Failure: a leaving worker gets new tasks, or keeps a lasting one to its end.
TEST_F(scheduler_test, leaving_worker_is_relieved)
{
    add_worker("a");
    leader.begin(now);
    auto s = short_step(1);
    s.is_long_running = true;
    leader.add_job(make_job("j", s));
    ASSERT_EQ(of<start_order>(settle()).size(), 1U);
    auto leaving = entry("a");
    leaving.is_leaving = true;
    leader.set_worker(leaving, now);
    leader.add_job(make_job("k", short_step(1)));
    const auto orders = settle();
    EXPECT_EQ(of<stop_order>(orders).size(), 1U);
    EXPECT_TRUE(of<start_order>(orders).empty());
}

// Failure: a cancelled job's tasks run on, or it is shown in another state.
TEST_F(scheduler_test, cancelled_job_is_stopped)
{
    add_worker("a");
    leader.begin(now);
    leader.add_job(make_job("j", short_step(3)));
    ASSERT_EQ(of<start_order>(settle()).size(), 3U);
    leader.cancel_job(job_id("j"), now);
    EXPECT_EQ(of<stop_order>(settle()).size(), 3U);
    EXPECT_EQ(leader.registry().over().at(job_id("j")), job_state::cancelled);
}

// Failure: a task that can never succeed is started for ever, or one more
// time than the queue allows.
TEST_F(scheduler_test, job_fails_after_its_attempts)
{
    add_worker("a");
    leader.begin(now);
    leader.add_job(make_job("j", short_step(1)));
    std::size_t starts = 0;
    for (std::uint64_t number = 1; number < 5; ++number)
    {
        for (const auto& start : of<start_order>(settle()))
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
    const auto starts = of<start_order>(settle());
    ASSERT_EQ(starts.size(), 2U);
    EXPECT_NE(starts[0].worker, starts[1].worker);
}

// Failure: a gang is started in part.
TEST_F(scheduler_test, gang_starts_whole_or_not_at_all)
{
    add_worker("a");
    leader.begin(now);
    auto s = short_step(20);
    s.is_gang = true;
    leader.add_job(make_job("j", s));
    EXPECT_TRUE(of<start_order>(settle()).empty());
    add_worker("b");
    const auto starts = of<start_order>(settle());
    ASSERT_EQ(starts.size(), 20U);
    EXPECT_TRUE(std::ranges::all_of(starts, [&](const start_order& o) {
        return o.run == starts.front().run;
    }));
}

// Failure: an occurrence starts before its time.
TEST_F(scheduler_test, occurrence_waits_for_its_time)
{
    add_worker("a");
    leader.begin(now);
    auto j = make_job("j", short_step(1));
    j.repeats = {2, milliseconds(1000), milliseconds(500)};
    leader.add_job(j);
    settle();
    const auto early = leader.decide(now, milliseconds(990), {});
    EXPECT_TRUE(of<start_order>(early).empty());
    // It is ordered when the store names it.
    EXPECT_TRUE(
        of<start_order>(leader.decide(now, milliseconds(1060), {})).empty());
    leader.take_changes();
    leader.on_changes_stored(now);
    const auto due = leader.decide(now, milliseconds(1061), {});
    EXPECT_EQ(of<start_order>(due).size(), 1U);
}

// Failure: fill tasks are added beside a serving task that is over its target,
// each at full pace until the next report, and it stays over (HARM, a quiet
// day of the further-grown site).
TEST_F(scheduler_test, no_fill_task_is_added_beside_a_task_over_its_target)
{
    add_worker("a");
    leader.begin(now);
    auto serving = short_step(1);
    serving.is_long_running = true;
    serving.tail_target = milliseconds(18);
    leader.add_job(make_job("serving", serving));
    ASSERT_EQ(of<start_order>(settle()).size(), 1U);
    running[worker_id("a")].front().measurement = 30;
    settle(seconds(2));
    auto fill = short_step(2);
    fill.fills = true;
    leader.add_job(make_job("fill", fill));
    EXPECT_TRUE(of<start_order>(settle(seconds(2))).empty());
    running[worker_id("a")].front().measurement = 4;
    EXPECT_EQ(of<start_order>(settle(seconds(4))).size(), 2U);
}

// Failure: a VM whose lead is in doubt starts tasks.
TEST_F(scheduler_test, nothing_starts_while_the_lead_is_in_doubt)
{
    add_worker("a");
    leader.begin(now);
    settle();
    leader.add_job(make_job("j", short_step(1)));
    EXPECT_TRUE(of<start_order>(leader.decide(now, milliseconds(0),
                                              {.may_start = false,
                                               .may_extend_leases = true}))
                    .empty());
}

// Failure: looks go on when the leases must run out.
TEST_F(scheduler_test, leases_are_not_prolonged_when_they_must_end)
{
    add_worker("a");
    leader.begin(now);
    leader.add_job(make_job("j", short_step(1)));
    settle();
    now += seconds(3);
    EXPECT_TRUE(of<poll_order>(leader.decide(now, milliseconds(0),
                                             {.may_start = false,
                                              .may_extend_leases = false}))
                    .empty());
}

// Failure: a worker that fails tasks of several jobs gets the next ones too.
TEST_F(scheduler_test, failing_worker_is_avoided)
{
    add_worker("a");
    leader.begin(now);
    leader.add_job(make_job("j", short_step(1)));
    leader.add_job(make_job("k", short_step(1)));
    const auto starts = of<start_order>(settle(milliseconds(100)));
    ASSERT_EQ(starts.size(), 2U);
    running.clear();
    std::uint64_t number = 0;
    for (const auto& start : starts)
    {
        ended[start.worker].push_back(
            {++number, start.task, start.run, run_end::failed, ""});
    }
    add_worker("b");
    const auto again = of<start_order>(settle(milliseconds(900)));
    EXPECT_EQ(again.size(), 2U);
    EXPECT_TRUE(std::ranges::all_of(again, [](const start_order& o) {
        return o.worker == worker_id("b");
    }));
}

// Failure: a task of a queue with advice starts without a ticket, or on a
// worker that the advice did not name.
TEST_F(scheduler_test, queue_with_advice_starts_with_a_ticket)
{
    add_worker("a");
    add_worker("b");
    leader.begin(now);
    settle();
    auto j = make_job("j", short_step(2));
    j.policy.needs_advice = true;
    leader.add_job(j);
    auto orders = settle(milliseconds(100));
    EXPECT_TRUE(of<start_order>(orders).empty());
    const auto questions = of<advice_request>(orders);
    ASSERT_EQ(questions.size(), 1U);
    EXPECT_EQ(to_text(questions[0].step), "j.0.0");
    EXPECT_EQ(questions[0].workers.size(), 2U);
    leader.on_advice(questions[0], {{{worker_id("b"), "t-1"}}, seconds(3)},
                     now);
    const auto starts = of<start_order>(settle(milliseconds(100)));
    ASSERT_EQ(starts.size(), 2U);
    for (const auto& start : starts)
    {
        EXPECT_EQ(start.worker, worker_id("b"));
        EXPECT_EQ(start.ticket, "t-1");
    }
}

// Failure: a question without an answer is never asked again.
TEST_F(scheduler_test, advice_is_asked_for_again)
{
    add_worker("a");
    leader.begin(now);
    settle();
    auto j = make_job("j", short_step(1));
    j.policy.needs_advice = true;
    leader.add_job(j);
    const auto questions = of<advice_request>(settle(milliseconds(100)));
    ASSERT_EQ(questions.size(), 1U);
    leader.on_advice_failed(questions[0], now);
    EXPECT_EQ(of<advice_request>(settle(milliseconds(400))).size(), 1U);
}

// Failure: a worker that has started again is told to forget ends by a number
// of its last life, so that a task that is done runs again (soak seed 3).
TEST_F(scheduler_test, ends_are_acknowledged_once)
{
    add_worker("a");
    leader.begin(now);
    leader.add_job(make_job("j", short_step(2)));
    const auto starts = of<start_order>(settle(milliseconds(100)));
    ASSERT_EQ(starts.size(), 2U);
    const worker_id a("a");
    running[a].pop_back();
    ended[a] = {{7, starts[1].task, starts[1].run, run_end::done, ""}};
    settle(milliseconds(100));
    ended[a].clear();
    settle(milliseconds(300));
    EXPECT_EQ(std::ranges::count(acknowledged, 7U), 1);
    EXPECT_EQ(acknowledged.back(), 0U);
}

// Failure: the same after a silence, in which the worker may have restarted.
TEST_F(scheduler_test, nothing_is_acknowledged_after_a_silence)
{
    add_worker("a");
    leader.begin(now);
    leader.add_job(make_job("j", short_step(2)));
    const auto starts = of<start_order>(settle(milliseconds(100)));
    const worker_id a("a");
    running[a].pop_back();
    ended[a] = {{7, starts[1].task, starts[1].run, run_end::done, ""}};
    now += milliseconds(50);
    leader.on_report(a, report_of(a), now, now);
    leader.take_changes();
    leader.on_changes_stored(now);
    leader.on_poll_failed(a, now);
    acknowledged.clear();
    silent.insert(a);
    settle(seconds(2));
    EXPECT_GT(acknowledged.size(), 1U);
    EXPECT_TRUE(std::ranges::all_of(
        acknowledged, [](std::uint64_t number) { return number == 0; }));
}

// Failure: a start goes to a worker whose clock and memory are known from its
// last life only, so that neither deadline nor stop would bound it.
TEST_F(scheduler_test, restarted_worker_is_looked_at_before_a_start)
{
    add_worker("a");
    leader.begin(now);
    settle();
    silent.insert(worker_id("a"));
    auto restarted = entry("a");
    restarted.incarnation = 2;
    leader.set_worker(restarted, now);
    leader.add_job(make_job("j", short_step(1)));
    EXPECT_TRUE(of<start_order>(settle()).empty());
    silent.clear();
    EXPECT_EQ(of<start_order>(settle(seconds(1))).size(), 1U);
}
