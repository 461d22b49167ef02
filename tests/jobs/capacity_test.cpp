// Guards against starts over a capacity that has shrunk, and against tasks that
// wait although it has grown back. The workers do not guard their capacity.
#include <cstdint>
#include <limits>
#include <memory>
#include <string>

#include <gtest/gtest.h>

#include "capacity_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

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
