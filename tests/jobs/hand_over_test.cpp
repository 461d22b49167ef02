// Guards against tasks that wait for leases anew with each planned hand-over of
// the leadership, and against tasks that run twice across one.
#include <algorithm>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "jobs/jobs.hpp"
#include "store_clock_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using hemlockdeal::jobs::test::store_clock_at;
using hemlockdeal::jobs::test::store_time_at;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// Two workers, "sound" and "lost", run a long-running task each; "lost" stops
// responding. Leaders take over from each other.
class hand_over_test : public testing::Test
{
protected:
    hand_over_test()
    {
        step s;
        s.task_count = 2;
        s.size = {1000, 100, 0};
        s.is_long_running = true;
        s.max_per_worker = 1;
        definition.id = job_id("j");
        definition.policy.service = service_id("s");
        definition.steps = {s};
        replace_leader({});
        leader->add_job(definition);
        simulate(seconds(1));
        lost_task = task_on("lost");
        is_lost = true;
        lost_at = now;
    }

    worker_entry entry(const std::string& name) const
    {
        worker_entry e;
        e.id = worker_id(name);
        e.service = service_id("s");
        e.zone = availability_zone_id("z");
        e.vm = vm_id("vm-" + name);
        e.capacity = {16000, 64000, 0};
        e.incarnation = 1;
        return e;
    }

    void replace_leader(const earlier_leaders& predecessors)
    {
        leader.emplace(scheduler_options{}, ++epoch);
        if (knows_store_clock)
        {
            leader->set_store_clock(store_clock_at(now));
        }
        leader->set_services({{service_id("s"), {}}});
        if (progress)
        {
            leader->recover_job(definition, decode_progress(*progress));
        }
        for (const auto& [number, part] : fleet_rows)
        {
            leader->recover_fleet(
                decode_fleet(encode_fleet(part.workers)).value());
        }
        leader->set_worker(entry("sound"), now);
        leader->set_worker(entry("lost"), now);
        leader->set_worker(entry("spare"), now);
        leader->begin(now, predecessors);
    }

    task_key key(std::uint32_t index) const
    {
        return {definition.id, 0, 0, index};
    }

    fleet_record stored_record(const std::string& name)
    {
        const worker_id id(name);
        const auto part = decode_fleet(
            encode_fleet(fleet_rows.at(fleet_part_of(id)).workers));
        return *std::ranges::find(*part, id, &fleet_record::worker);
    }

    void store_changes()
    {
        const auto changes = leader->take_changes();
        for (const auto& [id, text] : changes.jobs)
        {
            progress = text;
        }
        fleet_writes += changes.fleet.size();
        for (const auto& part : changes.fleet)
        {
            fleet_rows[part.number] = part;
        }
        leader->on_changes_stored(now);
    }

    // The leader hands over, and the next one takes over shortly afterwards.
    void hand_over()
    {
        earlier_leaders next;
        next.last_has_ended = true;
        next.bounds_since = 1;
        next.leases_end = leader->hand_over(now);
        store_changes();
        now += milliseconds(100);
        replace_leader(next);
    }

    void simulate(duration time)
    {
        const auto end = now + time;
        while (now < end)
        {
            now += milliseconds(20);
            for (const auto& o : leader->decide(now, milliseconds(0), {}))
            {
                respond(o);
            }
            store_changes();
        }
    }

    void respond(const order& o)
    {
        if (const auto* const start = std::get_if<start_order>(&o))
        {
            EXPECT_NE(start->worker, worker_id(is_lost ? "lost" : ""));
            if (!is_answering)
            {
                return;
            }
            running[start->worker].push_back(
                {start->task, start->run, "", 100, -1});
            started_at[start->task] = now;
            leader->on_start_answer(start->worker, start->task, start->run,
                                    start_answer::accepted, now);
        }
        const auto* const poll = std::get_if<poll_order>(&o);
        if (poll == nullptr)
        {
            return;
        }
        lease_extensions += poll->deadline ? 1 : 0;
        if (is_lost && poll->worker == worker_id("lost"))
        {
            leader->on_poll_failed(poll->worker, now);
            return;
        }
        jobs::worker_report report;
        report.incarnation = 1;
        report.clock =
            std::chrono::duration_cast<worker_clock>(now.time_since_epoch());
        report.running = running[poll->worker];
        leader->on_report(poll->worker, report, now, now);
    }

    task_key task_on(const std::string& name)
    {
        EXPECT_EQ(running[worker_id(name)].size(), 1U) << name;
        return running[worker_id(name)].front().task;
    }

    // Time from the loss of the worker until its task ran elsewhere.
    milliseconds time_away()
    {
        EXPECT_GT(started_at[lost_task], lost_at);
        return std::chrono::duration_cast<milliseconds>(started_at[lost_task] -
                                                        lost_at);
    }

    job definition;
    std::optional<scheduler> leader;
    std::uint64_t epoch = 0;
    time_point now{seconds(100)};
    std::optional<std::string> progress;
    std::map<std::uint32_t, fleet_part> fleet_rows;
    std::map<worker_id, std::vector<running_task>> running;
    std::map<task_key, time_point> started_at;
    task_key lost_task;
    bool is_lost = false;
    bool is_answering = true;
    time_point lost_at{};
    std::size_t lease_extensions = 0;
    std::size_t fleet_writes = 0;
    bool knows_store_clock = true;
};

// The platform counts a long-running task as lost 6 s after its last run, if
// the 3 s and the 4 s before them are calm.
constexpr auto longest_absence = seconds(9);

} // namespace

// Failure: the record of a silent worker is written again and again, because
// the store does not name its clock, or the worker's clock is not known.
TEST_F(hand_over_test, silence_costs_a_bounded_number_of_writes)
{
    for (const bool known : {true, false})
    {
        knows_store_clock = known;
        is_lost = false;
        replace_leader({});
        simulate(seconds(1));
        is_lost = true;
        fleet_writes = 0;
        simulate(seconds(6));
        EXPECT_LE(fleet_writes, 2U) << known;
    }
}

// Failure: each planned hand-over restarts the wait for the leases of a worker
// that was lost before, and its long-running tasks are away for 14 s (LOST).
TEST_F(hand_over_test, task_of_a_worker_lost_before_runs_again_in_time)
{
    simulate(seconds(4));
    hand_over();
    simulate(seconds(12));
    EXPECT_LT(time_away(), longest_absence);
}

// Failure: the same, because only the last leader knew of the leases.
TEST_F(hand_over_test, task_runs_again_in_time_after_several_hand_overs)
{
    simulate(seconds(2));
    hand_over();
    simulate(seconds(2));
    hand_over();
    simulate(milliseconds(500));
    hand_over();
    simulate(seconds(12));
    EXPECT_LT(time_away(), longest_absence);
}

// Failure: the same, for a worker that is lost in the hand-over.
TEST_F(hand_over_test, task_of_a_worker_lost_in_the_hand_over_runs_in_time)
{
    hand_over();
    simulate(seconds(12));
    EXPECT_LT(time_away(), longest_absence);
}

// Failure: a task runs twice, because the next leader takes its leases for
// expired before they are.
TEST_F(hand_over_test, leases_are_waited_for)
{
    simulate(seconds(1));
    hand_over();
    simulate(seconds(12));
    EXPECT_GE(time_away(), scheduler_options{}.max_lease - milliseconds(1500));
}

// Failure: a leader extends leases after the next one was told when they
// expire, and a task runs twice.
TEST_F(hand_over_test, no_lease_is_extended_after_the_hand_over)
{
    leader->hand_over(now);
    lease_extensions = 0;
    simulate(seconds(3));
    EXPECT_EQ(lease_extensions, 0U);
}

// Failure: a bound counts although a leader of an earlier release, which does
// not withdraw it before it extends leases, led in between.
TEST_F(hand_over_test, bound_of_an_earlier_hand_over_is_ignored)
{
    simulate(seconds(1));
    hand_over();
    simulate(milliseconds(100));
    // The leader is lost without a hand-over.
    now += seconds(2);
    const auto taken_over_at = now;
    replace_leader({});
    simulate(seconds(17));
    EXPECT_GT(started_at[lost_task] - taken_over_at, seconds(9));
}

// Failure: a start without a response is not handed over, and a worker that
// restarts executes it while its task runs elsewhere.
TEST_F(hand_over_test, starts_without_a_response_are_handed_over)
{
    auto other = definition;
    other.id = job_id("k");
    other.steps.front().is_long_running = false;
    other.steps.front().task_count = 3;
    is_answering = false;
    is_lost = false;
    leader->add_job(other);
    simulate(milliseconds(200));
    is_lost = true;
    simulate(milliseconds(200));
    leader->hand_over(now);
    store_changes();
    const auto record = stored_record("lost");
    ASSERT_EQ(record.unanswered_starts.size(), 1U);
    const auto& start = record.unanswered_starts.front();
    EXPECT_EQ(start.task.job, other.id);
    EXPECT_GT(start.until, store_time_at(now + seconds(12)));
    EXPECT_LT(record.leases->ends_at, store_time_at(now + seconds(7)));
}

// Failure: one start without a response keeps the other tasks of a lost worker
// waiting, or its own task is started before it can no longer take effect.
TEST_F(hand_over_test, unanswered_start_delays_only_its_own_task)
{
    fleet_record record{worker_id("lost"), std::vector{key(0), key(1)},
                        vm_id("vm-lost")};
    record.leases = lease_bound{epoch, store_time_at(now + milliseconds(500))};
    record.unanswered_starts = {{key(1), store_time_at(now + seconds(10))}};
    fleet_rows = {{fleet_part_of(record.worker),
                   {fleet_part_of(record.worker), {record}}}};
    running.clear();
    const auto begun_at = now;
    replace_leader({true, epoch, {}});
    simulate(seconds(12));
    EXPECT_LT(started_at[key(0)] - begun_at, seconds(1));
    EXPECT_GE(started_at[key(1)] - begun_at, seconds(10));
}

// Failure: TWICE, because only the first of several next leaders waits until an
// unanswered start can no longer take effect.
TEST_F(hand_over_test, unanswered_start_is_handed_on_after_the_leases)
{
    fleet_record record{worker_id("lost"), std::vector{key(0), key(1)},
                        vm_id("vm-lost")};
    record.leases = lease_bound{epoch, store_time_at(now + milliseconds(500))};
    record.unanswered_starts = {{key(1), store_time_at(now + seconds(10))}};
    fleet_rows = {{fleet_part_of(record.worker),
                   {fleet_part_of(record.worker), {record}}}};
    running.clear();
    const auto begun_at = now;
    replace_leader({true, epoch, {}});
    simulate(seconds(1));
    hand_over();
    simulate(seconds(12));
    EXPECT_GE(started_at[key(1)] - begun_at, seconds(10));
}

// Failure: a record is not decoded as it was encoded, and tasks wait for leases
// that have expired.
TEST(fleet_record, bound_of_leases_is_stored)
{
    fleet_record record{worker_id("w"), std::vector<task_key>{}, vm_id("v")};
    record.leases = lease_bound{7, store_time(milliseconds(2500))};
    record.unanswered_starts = {
        {{job_id("j"), 0, 1, 2}, store_time(seconds(9))}};
    const auto decoded = decode_fleet(encode_fleet({record}));
    ASSERT_TRUE(decoded);
    EXPECT_THAT(*decoded, testing::ElementsAre(record));
}

// Failure: the end of the leases on a worker whose runs nobody knows is not
// handed on.
TEST(fleet_record, bound_of_leases_is_stored_without_runs)
{
    fleet_record record{worker_id("w"), std::nullopt, vm_id("v")};
    record.leases = lease_bound{7, store_time(milliseconds(2500))};
    const auto decoded = decode_fleet(encode_fleet({record}));
    ASSERT_TRUE(decoded);
    EXPECT_THAT(*decoded, testing::ElementsAre(record));
}

// Failure: a malformed bound is taken for 0, and a task runs twice.
TEST(fleet_record, malformed_bound_of_leases_is_ignored)
{
    for (const auto* const bound :
         {"5", "[]", "[7]", "[7,-1]", "[7,2.5]", "[\"7\",1]", "[7,null]"})
    {
        const auto decoded = decode_fleet(R"([{"w":"a","r":[],"t":)" +
                                          std::string(bound) + "}]");
        ASSERT_TRUE(decoded) << bound;
        EXPECT_FALSE(decoded->front().leases) << bound;
        EXPECT_TRUE(decoded->front().runs) << bound;
    }
}

// Failure: a malformed start without a response is left out, and its task runs
// twice.
TEST(fleet_record, malformed_start_leaves_the_bound_of_leases_out)
{
    for (const auto* const starts :
         {"5", "[5]", "[[]]", R"([["x",5]])", R"([["0a.0.0.0",-5]])"})
    {
        const auto decoded = decode_fleet(R"([{"w":"a","r":[],"t":[7,5],"u":)" +
                                          std::string(starts) + "}]");
        ASSERT_TRUE(decoded) << starts;
        EXPECT_FALSE(decoded->front().leases) << starts;
    }
}
