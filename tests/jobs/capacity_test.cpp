// Guards against starts over a capacity that has shrunk, and against tasks that
// wait although it has grown back. The workers do not guard their capacity.
#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "jobs/jobs.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr duration step_time = milliseconds(20);
constexpr duration short_time = milliseconds(300);
constexpr task_size full_room{16000, 64000, 4};

step step_of(std::uint32_t count, std::int64_t processor_millis)
{
    step s;
    s.task_count = count;
    s.size = {processor_millis, 1000, 0};
    s.estimate = seconds(10);
    return s;
}

step serving_step(std::uint32_t count, std::int64_t processor_millis)
{
    auto s = step_of(count, processor_millis);
    s.is_long_running = true;
    s.tail_target = milliseconds(18);
    return s;
}

step fill_step(std::uint32_t count, std::int64_t processor_millis)
{
    auto s = step_of(count, processor_millis);
    s.fills = true;
    s.image = "fill";
    return s;
}

class capacity_test : public testing::Test
{
protected:
    capacity_test()
        : leader(std::make_unique<scheduler>(scheduler_options{}, 1))
    {
        leader->set_services({{service_id("s"), {}}});
    }

    worker_entry& entry(const std::string& name)
    {
        const auto [found, is_new] = entries.try_emplace(worker_id(name));
        auto& e = found->second;
        if (is_new)
        {
            e.id = found->first;
            e.service = service_id("s");
            e.zone = availability_zone_id("z");
            e.capacity = full_room;
            e.incarnation = 1;
        }
        return e;
    }

    void publish(const std::string& name, const task_size& capacity)
    {
        entry(name).capacity = capacity;
        leader->set_worker(entry(name), now);
    }

    void begin(const std::vector<std::string>& names)
    {
        for (const auto& name : names)
        {
            publish(name, full_room);
        }
        leader->begin(now);
        simulate();
    }

    static job make_job(const std::string& name, const step& s)
    {
        job j;
        j.id = job_id(name);
        j.policy.service = service_id("s");
        j.policy.max_attempts = 2;
        j.steps = {s};
        return j;
    }

    void add_job(const std::string& name, const step& s)
    {
        leader->add_job(make_job(name, s));
    }

    // Starts the tasks of a new job and fails the test if one finds no room.
    void run_job(const std::string& name, const step& s)
    {
        add_job(name, s);
        ASSERT_EQ(simulate().size(), s.task_count) << name;
    }

    // Returns the starts; stops are counted.
    std::vector<start_order> simulate(duration time = short_time)
    {
        std::vector<start_order> starts;
        for (const auto end = now + time; now < end;)
        {
            now += step_time;
            for (const auto& o : leader->decide(now, milliseconds(0), {}))
            {
                respond(o, starts);
            }
            if (store_responds && leader->has_changes())
            {
                leader->take_changes();
                leader->on_changes_stored(now);
            }
        }
        return starts;
    }

    void respond(const order& o, std::vector<start_order>& starts)
    {
        if (const auto* const start = std::get_if<start_order>(&o))
        {
            starts.push_back(*start);
            if (workers_answer_starts)
            {
                accept(*start);
            }
        }
        if (std::holds_alternative<stop_order>(o))
        {
            stops.push_back(std::get<stop_order>(o));
        }
        if (const auto* const poll = std::get_if<poll_order>(&o))
        {
            leases_extended += poll->deadline ? 1 : 0;
            leader->on_report(poll->worker, report_of(poll->worker), now, now);
        }
    }

    void accept(const start_order& start)
    {
        running[start.worker].push_back({start.task, start.run, "", 0, -1});
        leader->on_start_answer(start.worker, start.task, start.run,
                                start_answer::accepted, now);
    }

    jobs::worker_report report_of(const worker_id& id)
    {
        jobs::worker_report r;
        r.clock =
            std::chrono::duration_cast<worker_clock>(now.time_since_epoch());
        r.incarnation = 1;
        r.running = running[id];
        for (auto& run : r.running)
        {
            run.percent = percent();
        }
        r.ended = ended[id];
        return r;
    }

    int percent() const
    {
        constexpr int cycle = 90;
        return runs_progress ? static_cast<int>(now.time_since_epoch() /
                                                step_time % cycle)
                             : 0;
    }

    void end_first_run(const std::string& name, run_end how = run_end::done)
    {
        auto& runs = running[worker_id(name)];
        auto& ends = ended[worker_id(name)];
        ends.push_back(
            {ends.size() + 1, runs.front().task, runs.front().run, how, ""});
        runs.erase(runs.begin());
    }

    std::unique_ptr<scheduler> leader;
    std::map<worker_id, worker_entry> entries;
    std::map<worker_id, std::vector<running_task>> running;
    std::map<worker_id, std::vector<ended_run>> ended;
    std::vector<stop_order> stops;
    std::size_t leases_extended = 0;
    bool store_responds = true;
    bool workers_answer_starts = true;
    bool runs_progress = true;
    time_point now{seconds(1000)};
};

} // namespace

// Failure: a task whose announcement waits for the store is started where it
// was reserved although the room there has gone.
TEST_F(capacity_test, reservation_ends_when_the_room_shrinks)
{
    begin({"a"});
    store_responds = false;
    add_job("j", step_of(1, 10000));
    ASSERT_TRUE(simulate().empty());
    ASSERT_TRUE(leader->has_starts_waiting());
    publish("a", {4000, 64000, 0});
    store_responds = true;
    EXPECT_TRUE(simulate().empty());
    publish("b", full_room);
    const auto starts = simulate();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts.front().worker, worker_id("b"));
}

// Failure: of several tasks that are reserved on one worker, more are started
// than fit after it has shrunk.
TEST_F(capacity_test, only_reservations_that_still_fit_are_used)
{
    begin({"a"});
    store_responds = false;
    add_job("j", step_of(4, 4000));
    ASSERT_TRUE(simulate().empty());
    publish("a", {9000, 64000, 0});
    store_responds = true;
    EXPECT_EQ(simulate().size(), 2U);
}

// Failure: a start that is on its way does not count against the shrunken
// capacity, or is withdrawn although it may run.
TEST_F(capacity_test, start_in_transit_counts_after_the_room_has_shrunk)
{
    begin({"a"});
    workers_answer_starts = false;
    add_job("j", step_of(1, 10000));
    const auto starts = simulate(milliseconds(60));
    ASSERT_EQ(starts.size(), 1U);
    publish("a", {12000, 64000, 0});
    add_job("k", step_of(1, 4000));
    EXPECT_TRUE(simulate().empty());
    accept(starts.front());
    EXPECT_TRUE(simulate(seconds(1)).empty());
    EXPECT_TRUE(stops.empty());
}

// Failure: a run that is being stopped counts as gone before the worker has
// listed its end, and a start is added beside it.
TEST_F(capacity_test, stopping_run_counts_until_its_end_is_listed)
{
    begin({"a"});
    run_job("j", step_of(1, 10000));
    leader->cancel_job(job_id("j"), now);
    publish("a", {12000, 64000, 0});
    add_job("k", step_of(1, 4000));
    EXPECT_TRUE(simulate(seconds(1)).empty());
    ASSERT_FALSE(stops.empty());
    leader->on_stop_confirmed(worker_id("a"), stops.front().task,
                              stops.front().run, now);
    EXPECT_TRUE(simulate(seconds(1)).empty());
    end_first_run("a", run_end::stopped);
    EXPECT_EQ(simulate().size(), 1U);
}

// Failure: runs are stopped, and their work is lost, because the capacity falls
// below what they reserve; or tasks are added before enough of them have ended.
TEST_F(capacity_test, runs_end_by_themselves_after_the_room_has_shrunk)
{
    begin({"a"});
    run_job("j", step_of(3, 4000));
    run_job("lasting", serving_step(1, 2000));
    publish("a", {8000, 64000, 0});
    add_job("k", step_of(1, 2000));
    EXPECT_TRUE(simulate(seconds(2)).empty());
    end_first_run("a");
    EXPECT_TRUE(simulate(seconds(1)).empty());
    EXPECT_TRUE(stops.empty());
    end_first_run("a");
    EXPECT_EQ(simulate().size(), 1U);
}

// Failure: a fill task, whose processors are not counted, is started on a
// worker whose runs exceed its capacity.
TEST_F(capacity_test, no_fill_task_starts_beside_runs_over_the_capacity)
{
    begin({"a"});
    run_job("lasting", serving_step(4, 3000));
    publish("a", {8000, 64000, 0});
    add_job("fill", fill_step(1, 1000));
    EXPECT_TRUE(simulate(seconds(2)).empty());
    publish("a", full_room);
    EXPECT_EQ(simulate().size(), 1U);
}

// Failure: the processors expected to be unused are negative, and a fill task
// is started or the leader's sums wrap around.
TEST_F(capacity_test, no_fill_task_starts_while_no_processors_are_unused)
{
    begin({"a"});
    run_job("batch", step_of(3, 4000));
    for (const auto millis :
         {std::int64_t{2000}, std::int64_t{0}, std::int64_t{-5},
          std::numeric_limits<std::int64_t>::min()})
    {
        publish("a", {millis, 64000, 0});
        add_job("fill" + std::to_string(millis), fill_step(1, 100));
        EXPECT_TRUE(simulate(seconds(1)).empty()) << millis;
    }
    EXPECT_TRUE(stops.empty());
}

// Failure: a fill task without processors counts as a fault of its worker,
// which is then avoided for seconds after its capacity has grown back (LOST of
// a lasting task whose only room is there).
TEST_F(capacity_test, worker_without_room_for_its_fills_is_not_avoided)
{
    begin({"a"});
    run_job("fill", fill_step(2, 4000));
    publish("a", {0, 64000, 0});
    runs_progress = false;
    add_job("lasting", serving_step(1, 4000));
    // Longer than a run may be without progress.
    ASSERT_TRUE(simulate(seconds(4)).empty());
    publish("a", full_room);
    const auto starts = simulate();
    EXPECT_TRUE(std::ranges::any_of(starts, [](const start_order& o) {
        return o.task.job == job_id("lasting");
    }));
}

// Failure: a run that stood still for lack of processors is judged by that time
// after the room is back, and its worker is avoided.
TEST_F(capacity_test, stall_limit_begins_anew_when_the_room_is_back)
{
    begin({"a"});
    run_job("fill", fill_step(2, 4000));
    publish("a", {0, 64000, 0});
    runs_progress = false;
    simulate(milliseconds(2400));
    publish("a", full_room);
    simulate(milliseconds(400));
    EXPECT_TRUE(stops.empty());
    add_job("lasting", serving_step(1, 4000));
    EXPECT_EQ(simulate().size(), 1U);
}

// Failure: a part of a gang is started, or a gang is started over the capacity
// of one of its workers.
TEST_F(capacity_test, gang_waits_until_all_its_workers_have_room)
{
    begin({"a", "b"});
    store_responds = false;
    auto s = step_of(2, 10000);
    s.is_gang = true;
    add_job("gang", s);
    ASSERT_TRUE(simulate().empty());
    ASSERT_TRUE(leader->has_starts_waiting());
    publish("b", {4000, 64000, 0});
    store_responds = true;
    EXPECT_TRUE(simulate(seconds(1)).empty());
    publish("b", full_room);
    EXPECT_EQ(simulate().size(), 2U);
}

// Failure: a task that needs accelerators or memory is started on a worker that
// no longer has them.
TEST_F(capacity_test, memory_and_accelerators_may_shrink_alone)
{
    begin({"a"});
    auto s = step_of(1, 1000);
    s.size.accelerators = 2;
    run_job("j", s);
    publish("a", {16000, 64000, 3});
    add_job("k", s);
    EXPECT_TRUE(simulate().empty());
    publish("a", {16000, 64000, 1});
    add_job("without", step_of(1, 1000));
    EXPECT_TRUE(simulate().empty());
    publish("a", {16000, 1500, 4});
    EXPECT_TRUE(simulate().empty());
    publish("a", {16000, 64000, 4});
    EXPECT_EQ(simulate().size(), 2U);
}

// Failure: a task that fits nowhere is placed only some time after the leader
// has learnt that there is room again.
TEST_F(capacity_test, task_is_placed_at_once_when_the_room_is_back)
{
    begin({"a", "b"});
    run_job("serving", serving_step(1, 2000));
    for (int i = 0; i < 40; ++i)
    {
        publish("a", {1000, 64000, 0});
        publish("b", {1000, 64000, 0});
        const auto name = "j" + std::to_string(i);
        add_job(name, step_of(1, 8000));
        ASSERT_TRUE(simulate(milliseconds(500 + 10 * i)).empty());
        publish("b", full_room);
        ASSERT_EQ(simulate(milliseconds(100)).size(), 1U) << i;
        leader->cancel_job(job_id(name), now);
        end_first_run("b", run_end::stopped);
        simulate();
    }
}

// Failure: a worker that refused a start for lack of room, or that was asked
// while it could take nothing, is left out after its room is back.
TEST_F(capacity_test, refusal_for_lack_of_room_ends_when_the_room_is_back)
{
    begin({"a"});
    workers_answer_starts = false;
    add_job("j", step_of(1, 8000));
    const auto starts = simulate(milliseconds(60));
    ASSERT_EQ(starts.size(), 1U);
    const auto& refused = starts.front();
    leader->on_start_answer(refused.worker, refused.task, refused.run,
                            start_answer::no_room, now);
    publish("a", {1000, 64000, 0});
    simulate(milliseconds(40));
    publish("a", full_room);
    EXPECT_EQ(simulate(milliseconds(40)).size(), 1U);
}

// Failure: a new leader that takes over while the capacity is small starts
// tasks beside the runs that it finds, or stops them.
TEST_F(capacity_test, next_leader_adds_nothing_to_adopted_runs)
{
    begin({"a"});
    run_job("j", step_of(3, 4000));
    leader = std::make_unique<scheduler>(scheduler_options{}, 2);
    leader->set_services({{service_id("s"), {}}});
    job_progress progress;
    progress.state = job_state::running;
    progress.ordered = {{0, 0, 0}, {0, 0, 1}, {0, 0, 2}};
    leader->recover_job(make_job("j", step_of(3, 4000)), progress);
    leader->recover_fleet({{worker_id("a"), std::nullopt}});
    publish("a", {8000, 64000, 0});
    leader->begin(now);
    add_job("k", step_of(1, 4000));
    EXPECT_TRUE(simulate(seconds(2)).empty());
    EXPECT_TRUE(stops.empty());
    publish("a", full_room);
    EXPECT_EQ(simulate().size(), 1U);
}

// Failure: a run of unknown size found while the capacity is small counts as
// that capacity, and tasks are started beside it once the room is back.
TEST_F(capacity_test, nothing_starts_beside_a_run_of_unknown_size)
{
    begin({"a"});
    publish("a", {1000, 2000, 0});
    running[worker_id("a")].push_back(
        {{job_id("unknown"), 0, 0, 0}, 1, "", 0, -1});
    add_job("k", step_of(1, 1000));
    leader->on_report(worker_id("a"), report_of(worker_id("a")), now, now);
    publish("a", full_room);
    EXPECT_TRUE(simulate(seconds(1)).empty());
    end_first_run("a", run_end::stopped);
    EXPECT_EQ(simulate().size(), 1U);
}

// Failure: the start goes by the capacity of an earlier entry although a later
// one has arrived between two decisions.
TEST_F(capacity_test, start_goes_by_the_latest_entry)
{
    begin({"a"});
    add_job("j", step_of(1, 8000));
    publish("a", {7999, 64000, 0});
    EXPECT_TRUE(simulate().empty());
    publish("a", {8000, 64000, 0});
    publish("a", {7999, 64000, 0});
    EXPECT_TRUE(simulate().empty());
    publish("a", {7999, 64000, 0});
    publish("a", {8000, 64000, 0});
    EXPECT_EQ(simulate().size(), 1U);
}

// Failure: a worker with an entry that cannot be read keeps its last capacity
// for new starts, or loses its runs or their leases, or is not used again.
TEST_F(capacity_test, worker_with_an_unreadable_entry_keeps_its_runs)
{
    begin({"a"});
    run_job("lasting", serving_step(1, 4000));
    leader->remove_worker(worker_id("a"), now, entry_loss::malformed);
    add_job("j", step_of(1, 1000));
    leases_extended = 0;
    EXPECT_TRUE(simulate(seconds(8)).empty());
    EXPECT_GT(leases_extended, 3U);
    EXPECT_TRUE(stops.empty());
    publish("a", {4500, 64000, 0});
    EXPECT_TRUE(simulate().empty());
    publish("a", full_room);
    EXPECT_EQ(simulate().size(), 1U);
}

// Failure: a worker without runs whose entry was unreadable for a while is not
// used again.
TEST_F(capacity_test, idle_worker_is_used_after_an_unreadable_entry)
{
    begin({"a"});
    leader->remove_worker(worker_id("a"), now);
    add_job("j", step_of(1, 1000));
    EXPECT_TRUE(simulate(seconds(1)).empty());
    publish("a", full_room);
    EXPECT_EQ(simulate().size(), 1U);
}

// Failure: a malformed entry that is rewritten each second fills the log.
TEST_F(capacity_test, loss_of_an_entry_is_logged_once)
{
    begin({"a"});
    run_job("lasting", serving_step(1, 4000));
    leader->take_events();
    const auto count_lines = [this](const std::string& message) {
        const auto events = leader->take_events();
        return std::ranges::count(events, message, &decision_event::message);
    };
    const std::string is_malformed =
        "worker is not used while its entry is malformed";
    for (int i = 0; i < 30; ++i)
    {
        leader->remove_worker(worker_id("a"), now, entry_loss::malformed);
    }
    EXPECT_EQ(count_lines(is_malformed), 1);
    publish("a", full_room);
    leader->remove_worker(worker_id("a"), now, entry_loss::malformed);
    EXPECT_EQ(count_lines(is_malformed), 1);
}

// Failure: an idle worker whose entry alternates between valid and malformed is
// forgotten and joins again each time; or one with an entry that stays
// malformed is never forgotten.
TEST_F(capacity_test,
       idle_worker_with_a_malformed_entry_is_forgotten_after_a_while)
{
    begin({"a"});
    leader->take_events();
    for (int i = 0; i < 30; ++i)
    {
        leader->remove_worker(worker_id("a"), now, entry_loss::malformed);
        simulate(seconds(1));
        publish("a", full_room);
        simulate(seconds(1));
    }
    const auto events = leader->take_events();
    EXPECT_EQ(
        std::ranges::count(events, "worker joined", &decision_event::message),
        0);
    leader->remove_worker(worker_id("a"), now, entry_loss::malformed);
    simulate(seconds(8));
    EXPECT_TRUE(leader->fleet().contains(worker_id("a")));
    simulate(seconds(4));
    EXPECT_FALSE(leader->fleet().contains(worker_id("a")));
}

// Failure: sums over absurd capacities overflow, and a task is started without
// room or none is started where there is room.
TEST_F(capacity_test, absurd_capacities_do_not_overflow)
{
    constexpr auto lowest = std::numeric_limits<std::int64_t>::min();
    constexpr auto highest = std::numeric_limits<std::int64_t>::max();
    begin({"a", "b", "c"});
    publish("a", {highest, highest, highest});
    publish("b", {highest, highest, highest});
    publish("c", {lowest, lowest, lowest});
    run_job("batch", step_of(8, 4000));
    run_job("serving", serving_step(4, 4000));
    run_job("fill", fill_step(4, 1000));
    // Long enough for a summary of the load.
    simulate(seconds(3));
    EXPECT_TRUE(running[worker_id("c")].empty());
    // A second run of unknown size counts beside the first.
    for (std::uint32_t i = 0; i < 2; ++i)
    {
        running[worker_id("a")].push_back(
            {{job_id("unknown"), 0, 0, i}, 1, "", 0, -1});
    }
    simulate();
    EXPECT_GE(leader->fleet().at(worker_id("a")).room_used().memory_mb, 0);
    publish("c", {lowest, 64000, 4});
    leader->remove_worker(worker_id("a"), now);
    leader->remove_worker(worker_id("b"), now);
    add_job("more", fill_step(1, 1000));
    EXPECT_TRUE(simulate(seconds(1)).empty());
}
