// Guards against logs that do not tell why a long-running task does not run.
#include <algorithm>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <gtest/gtest.h>

#include "scheduler_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::string_view waiting = "long-running task is waiting";
constexpr std::string_view changed =
    "long-running task waits for another reason";
constexpr std::string_view runs_again = "long-running task runs again";
constexpr std::string_view left_out =
    "lines on waiting long-running tasks are left out";
// A task is logged at the first check after 4 s, and checks are 1 s apart.
constexpr auto time_to_line = milliseconds(5100);
// A step for which no worker is searched counts as waiting from the first check
// that finds it.
constexpr auto time_to_line_without_search = milliseconds(6100);

std::string field(const decision_event& event, std::string_view name)
{
    const auto found = std::ranges::find(event.fields, name,
                                         [](const auto& f) { return f.first; });
    return found == event.fields.end() ? "" : found->second;
}

class long_wait_log_test : public scheduler_test
{
protected:
    step long_running_step(std::uint32_t count = 1) const
    {
        auto s = short_step(count);
        s.is_long_running = true;
        return s;
    }

    void add_long_running_job(const std::string& name = "lasting")
    {
        leader.add_job(make_job(name, long_running_step()));
    }

    // Starts a long-running task on worker "a", which then falls silent; "b"
    // joins.
    void lose_worker_of_long_running_task()
    {
        add_worker("a");
        leader.begin(now);
        add_long_running_job();
        ASSERT_EQ(orders_of<start_order>(simulate()).size(), 1U);
        unresponsive.insert(worker_id("a"));
        add_worker("b");
    }

    // Like simulate(), with this permission and perhaps without a store.
    void simulate_with(duration time, leader_permission permission,
                       bool has_store = true)
    {
        const auto end = now + time;
        while (now < end)
        {
            now += milliseconds(20);
            for (const auto& o :
                 leader.decide(now, milliseconds(0), permission))
            {
                respond(o);
            }
            if (has_store && leader.has_changes())
            {
                leader.take_changes();
                leader.on_changes_stored(now);
            }
        }
    }

    // Adds a job for which worker "a" has room, and waits for its line.
    void simulate_waiting_job(leader_permission permission)
    {
        add_worker("a");
        leader.begin(now);
        add_long_running_job();
        simulate_with(time_to_line_without_search, permission);
    }

    // The events with this message since the start of the test.
    std::vector<decision_event> lines(std::string_view message)
    {
        std::ranges::move(leader.take_events(), std::back_inserter(events_));
        std::vector<decision_event> out;
        std::ranges::copy_if(events_, std::back_inserter(out),
                             [&](const decision_event& event) {
                                 return event.message == message;
                             });
        return out;
    }

    // The reason of the only line on a waiting task; empty if there are none or
    // several.
    std::string reason()
    {
        const auto found = lines(waiting);
        return found.size() == 1 ? field(found.front(), "reason") : "";
    }

private:
    std::vector<decision_event> events_;
};

} // namespace

// Failure: lines on tasks that run in time hide those on tasks that do not.
TEST_F(long_wait_log_test, a_task_that_runs_in_time_logs_nothing)
{
    lose_worker_of_long_running_task();
    simulate(milliseconds(3500));
    unresponsive.clear();
    simulate(seconds(10));
    EXPECT_TRUE(lines(waiting).empty());
    EXPECT_TRUE(lines(changed).empty());
    EXPECT_TRUE(lines(runs_again).empty());
    EXPECT_TRUE(lines(left_out).empty());
}

// Failure: the wait for the leases of a lost worker looks like any other, and
// an episode is logged several times or never ends.
TEST_F(long_wait_log_test, leases_on_a_silent_worker_are_the_reason)
{
    lose_worker_of_long_running_task();
    simulate(seconds(12));
    EXPECT_EQ(reason(), "leases on a silent worker have not expired");
    EXPECT_EQ(field(lines(waiting).at(0), "worker"), "a");
    EXPECT_EQ(field(lines(waiting).at(0), "task"), "lasting.0.0.0");
    EXPECT_EQ(field(lines(waiting).at(0), "job"), "lasting");
    ASSERT_EQ(lines(runs_again).size(), 1U);
    const auto end = lines(runs_again).front();
    EXPECT_EQ(field(end, "worker"), "b");
    EXPECT_EQ(field(end, "reason"),
              "leases on a silent worker have not expired");
    EXPECT_GT(std::stoi(field(end, "waited_ms")), 4000);
    EXPECT_LT(std::stoi(field(end, "waited_ms")), 8000);
    EXPECT_TRUE(lines(changed).empty());
}

// Failure: the line on the end of an episode is missing if the same run is seen
// again.
TEST_F(long_wait_log_test, an_episode_ends_when_the_run_is_seen_again)
{
    lose_worker_of_long_running_task();
    simulate(time_to_line);
    unresponsive.clear();
    simulate(seconds(2));
    EXPECT_EQ(lines(waiting).size(), 1U);
    ASSERT_EQ(lines(runs_again).size(), 1U);
    EXPECT_EQ(field(lines(runs_again).front(), "worker"), "a");
}

// Failure: a start without an answer, which is waited for twice as long, is
// logged as the wait for leases.
TEST_F(long_wait_log_test, a_start_without_an_answer_is_the_reason)
{
    add_worker("a");
    leader.begin(now);
    simulate();
    unresponsive.insert(worker_id("a"));
    add_long_running_job();
    const auto start = orders_of<start_order>(simulate(milliseconds(60))).at(0);
    leader.on_start_answer(start.worker, start.task, start.run,
                           start_answer::unknown, now);
    add_worker("b");
    simulate(time_to_line);
    EXPECT_EQ(reason(), "start on a silent worker got no answer");
    EXPECT_EQ(field(lines(waiting).at(0), "worker"), "a");
    simulate(seconds(10));
    EXPECT_EQ(lines(runs_again).size(), 1U);
}

// Failure: the wait of a task that an earlier leader may have started cannot be
// distinguished from others, or counts the time before this leadership.
TEST_F(long_wait_log_test, doubt_after_a_takeover_is_the_reason)
{
    job_progress progress;
    progress.state = job_state::running;
    progress.ordered = {{0, 0, 0}};
    leader.recover_job(make_job("lasting", long_running_step()), progress);
    leader.recover_fleet({{worker_id("gone"), std::nullopt, {}}});
    add_worker("a");
    leader.begin(now);
    simulate(time_to_line);
    EXPECT_EQ(reason(), "in doubt after a takeover");
    EXPECT_EQ(field(lines(waiting).at(0), "workers_not_seen"), "1");
    EXPECT_LE(std::stoi(field(lines(waiting).at(0), "waited_ms")), 5100);
}

// Failure: a full fleet looks like a wait with room.
TEST_F(long_wait_log_test, lack_of_room_is_the_reason)
{
    add_worker("a");
    leader.begin(now);
    auto whole_worker = long_running_step();
    whole_worker.size.processor_millis = 16000;
    leader.add_job(make_job("first", whole_worker));
    simulate();
    leader.add_job(make_job("second", whole_worker));
    simulate(time_to_line);
    EXPECT_EQ(reason(), "no room");
    EXPECT_EQ(field(lines(waiting).at(0), "workers"), "no room: 1");
    EXPECT_EQ(field(lines(waiting).at(0), "job"), "second");
}

// Failure: a constraint that no worker satisfies looks like a lack of room.
TEST_F(long_wait_log_test, a_constraint_is_the_reason)
{
    add_worker("a");
    leader.begin(now);
    auto s = long_running_step();
    s.required_label = "rare";
    leader.add_job(make_job("lasting", s));
    simulate(time_to_line);
    EXPECT_EQ(reason(), "constraints not satisfied");
}

// Failure: a closed zone looks like a lack of room.
TEST_F(long_wait_log_test, a_closed_zone_is_the_reason)
{
    add_worker("a");
    leader.set_closed_zones({availability_zone_id("zone-a")});
    leader.begin(now);
    add_long_running_job();
    simulate(time_to_line);
    EXPECT_EQ(reason(), "zone closed");
}

// Failure: room on workers that leave looks like room that is passed over.
TEST_F(long_wait_log_test, workers_that_leave_are_the_reason)
{
    auto leaving = entry("a");
    leaving.is_leaving = true;
    leader.set_worker(leaving, now);
    leader.begin(now);
    add_long_running_job();
    simulate(time_to_line);
    EXPECT_EQ(reason(), "worker leaves or is not listed");
}

// Failure: room on workers that do not respond looks like room that is passed
// over.
TEST_F(long_wait_log_test, silent_workers_with_room_are_the_reason)
{
    add_worker("a");
    unresponsive.insert(worker_id("a"));
    leader.begin(now);
    add_long_running_job();
    simulate(time_to_line);
    EXPECT_EQ(reason(), "worker silent");
}

// Failure: a worker that the store does not list yet looks like one that is
// passed over.
TEST_F(long_wait_log_test, workers_that_are_not_recorded_are_the_reason)
{
    add_worker("a");
    leader.begin(now);
    add_long_running_job();
    simulate_with(time_to_line, {}, false);
    EXPECT_EQ(reason(), "worker not recorded");
}

// Failure: a task that waits for the store looks as if its worker was passed
// over.
TEST_F(long_wait_log_test, a_store_that_does_not_list_the_task_is_the_reason)
{
    add_worker("a");
    leader.begin(now);
    simulate();
    add_long_running_job();
    simulate_with(time_to_line, {}, false);
    EXPECT_EQ(reason(), "store does not list the task yet");
}

// Failure: an advice service that does not answer looks like a lack of room.
TEST_F(long_wait_log_test, a_missing_ticket_is_the_reason)
{
    add_worker("a");
    leader.begin(now);
    auto lasting = make_job("lasting", long_running_step());
    lasting.policy.needs_advice = true;
    leader.add_job(lasting);
    simulate(time_to_line);
    EXPECT_EQ(reason(), "no advice ticket");
}

// Failure: a gang that has room for some of its tasks only looks as if its
// workers were passed over.
TEST_F(long_wait_log_test, lack_of_room_for_the_whole_gang_is_the_reason)
{
    add_worker("a");
    leader.begin(now);
    auto gang = long_running_step(2);
    gang.is_gang = true;
    gang.size.processor_millis = 9000;
    leader.add_job(make_job("lasting", gang));
    simulate(time_to_line);
    ASSERT_EQ(lines(waiting).size(), 2U);
    EXPECT_EQ(field(lines(waiting).front(), "reason"),
              "gang cannot start as a whole");
}

// Failure: a lead in doubt looks like a lack of room.
TEST_F(long_wait_log_test, a_lead_that_is_not_valid_is_the_reason)
{
    simulate_waiting_job({.lead_is_valid = false});
    EXPECT_EQ(reason(), "lead not valid");
}

// Failure: a leader that may not start tasks looks as if it passed workers
// over.
TEST_F(long_wait_log_test, a_missing_permission_is_the_reason)
{
    simulate_waiting_job({.may_start = false});
    EXPECT_EQ(reason(), "starts not permitted");
}

// Failure: a step whose turn has not come looks as if it was passed over.
TEST_F(long_wait_log_test, preceding_steps_are_the_reason)
{
    add_worker("a");
    leader.begin(now);
    auto second = long_running_step();
    second.after = {0};
    auto lasting = make_job("lasting", short_step(1));
    lasting.steps.push_back(second);
    leader.add_job(lasting);
    simulate(time_to_line_without_search);
    EXPECT_EQ(reason(), "preceding steps not done");
}

// Failure: a changed reason is not logged, or one that alternates fills the
// log.
TEST_F(long_wait_log_test, changes_of_the_reason_are_logged_three_times)
{
    add_worker("a");
    const std::set<availability_zone_id> closed = {
        availability_zone_id("zone-a")};
    leader.set_closed_zones(closed);
    leader.begin(now);
    add_long_running_job();
    simulate(time_to_line);
    for (int i = 0; i < 4; ++i)
    {
        auto leaving = entry("a");
        leaving.is_leaving = true;
        leader.set_worker(leaving, now);
        simulate(milliseconds(1100));
        leader.set_worker(entry("a"), now);
        simulate(milliseconds(1100));
    }
    EXPECT_EQ(lines(waiting).size(), 1U);
    ASSERT_EQ(lines(changed).size(), 3U);
    EXPECT_EQ(field(lines(changed).front(), "reason"),
              "worker leaves or is not listed");
}

// Failure: the loss of many workers fills the log, or hides how many tasks
// wait.
TEST_F(long_wait_log_test, the_number_of_lines_is_bounded)
{
    constexpr std::size_t tasks = 60;
    constexpr std::size_t max_lines = 20;
    add_worker("a");
    leader.set_closed_zones({availability_zone_id("zone-a")});
    leader.begin(now);
    leader.add_job(make_job("lasting", long_running_step(tasks)));
    simulate(seconds(8));
    EXPECT_EQ(lines(waiting).size(), max_lines);
    ASSERT_EQ(lines(left_out).size(), 1U);
    EXPECT_EQ(field(lines(left_out).front(), "lines"),
              std::to_string(tasks - max_lines));
    leader.set_closed_zones({});
    simulate(seconds(2));
    EXPECT_LE(lines(runs_again).size(), max_lines);
    EXPECT_EQ(lines(left_out).size(), 2U);
}
