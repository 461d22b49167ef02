// Guards against tasks that wait for workers on which they cannot run, or that
// run twice, when another VM becomes leader.
#include <map>
#include <string>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "takeover_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Failure: every task waits for the leases of a worker that had left before
// the takeover, although the tasks that ran there were known.
TEST_F(takeover_test, only_tasks_that_may_run_on_the_unseen_worker_wait)
{
    leader.recover_fleet({{worker_id("here"), std::nullopt},
                          {worker_id("gone"), std::vector{key(1)}}});
    leader.set_worker(entry("here"), now);
    leader.begin(now);
    EXPECT_THAT(simulate(seconds(2)), testing::ElementsAre(0U));
    // The longest lease, and the time for which the last leader may extend it.
    EXPECT_THAT(simulate(seconds(16)), testing::ElementsAre(1U));
}

// Failure: with each takeover, long-running tasks wait for 4 s more before they
// are placed before urgent ones.
TEST_F(takeover_test, waiting_lasting_tasks_go_before_urgent_ones)
{
    job lasting = definition;
    lasting.id = job_id("lasting");
    lasting.steps.front().is_long_running = true;
    lasting.steps.front().size.processor_millis = 16000;
    lasting.steps.front().task_count = 1;
    leader.recover_job(lasting, job_progress{.state = job_state::running,
                                             .has_started = true,
                                             .done = {},
                                             .ordered = {{}},
                                             .histories = {}});
    leader.set_worker(entry("here"), now);
    leader.begin(now);
    simulate(milliseconds(200));
    EXPECT_EQ(ran_on.count({lasting.id, 0, 0, 0}), 1U);
    EXPECT_EQ(ran_on.count(key(0)), 0U);
}

// Failure: a task runs twice, because any task may run on a worker that does
// not respond.
TEST_F(takeover_test, all_tasks_wait_for_a_worker_with_unknown_runs)
{
    leader.recover_fleet(
        {{worker_id("here"), std::nullopt}, {worker_id("gone"), std::nullopt}});
    leader.set_worker(entry("here"), now);
    leader.begin(now);
    EXPECT_THAT(simulate(seconds(12)), testing::IsEmpty());
    EXPECT_THAT(simulate(seconds(6)), testing::ElementsAre(0U, 1U));
}

// Failure: after a takeover with unresponsive workers, no waiting task starts
// for the 15 s until all leases have expired, although the last leader never
// ordered it (a failed zone that contained the leader).
TEST_F(takeover_test, tasks_that_were_never_ordered_start_at_once)
{
    auto with_row = definition;
    with_row.id = job_id("k");
    job_progress progress;
    progress.state = job_state::running;
    progress.ordered = {{0, 0, 1}};
    leader.recover_job(with_row, progress);
    // It was submitted while there was no leader.
    auto without_row = definition;
    without_row.id = job_id("n");
    leader.recover_job(without_row, std::nullopt);
    leader.recover_fleet(
        {{worker_id("here"), std::nullopt}, {worker_id("gone"), std::nullopt}});
    leader.set_worker(entry("here"), now);
    leader.begin(now);
    // One task of "k" may have been ordered and waits, both of "n" start, both
    // of "j" wait.
    EXPECT_THAT(simulate(seconds(2)), testing::ElementsAre(0U, 0U, 1U));
    EXPECT_THAT(simulate(seconds(16)), testing::ElementsAre(0U, 1U, 1U));
}

// Failure: a task is ordered before the store lists it, and the next leader
// starts it a second time because it does not know of the run.
TEST_F(takeover_test, tasks_are_listed_in_the_store_before_they_are_ordered)
{
    auto with_row = definition;
    with_row.id = job_id("k");
    job_progress progress;
    progress.state = job_state::running;
    progress.ordered.emplace();
    leader.recover_job(with_row, progress);
    leader.set_worker(entry("here"), now);
    leader.begin(now);
    std::map<std::string, std::string> rows;
    std::size_t started = 0;
    for (int i = 0; i < 50; ++i)
    {
        now += milliseconds(20);
        for (const auto& o : leader.decide(now, milliseconds(0), {}))
        {
            const auto* const start = std::get_if<start_order>(&o);
            if (start != nullptr && start->task.job == with_row.id)
            {
                ++started;
                const auto row = rows.find("k");
                ASSERT_NE(row, rows.end());
                const auto stored = decode_progress(row->second);
                ASSERT_TRUE(stored && stored->ordered);
                EXPECT_THAT(*stored->ordered,
                            testing::Contains(job_progress::task_position{
                                0, 0, start->task.index}));
            }
            std::vector<std::uint32_t> ignored;
            respond(o, ignored);
        }
        // The store responds one pass later.
        const auto changes = leader.take_changes();
        for (const auto& [id, text] : changes.jobs)
        {
            rows[id.value()] = text;
        }
        leader.on_changes_stored(now);
    }
    EXPECT_EQ(started, 2U);
}

// Failure: the next leader does not learn what may run on an unresponsive
// worker, or takes the list for complete while tasks are started there.
TEST_F(takeover_test, unresponsive_workers_are_recorded_with_their_runs)
{
    leader.set_worker(entry("here"), now);
    leader.begin(now);
    ASSERT_THAT(simulate(seconds(1)), testing::ElementsAre(0U, 1U));
    leader.on_poll_failed(worker_id("here"), now);
    now += milliseconds(50);
    leader.decide(now, milliseconds(0),
                  {.may_start = false, .may_extend_leases = false});
    const auto changes = leader.take_changes();
    EXPECT_THAT(changes.fleet,
                testing::ElementsAre(fleet_part{
                    fleet_part_of(reachable_worker),
                    {{reachable_worker, std::vector{key(0), key(1)}}}}));
    leader.on_changes_stored(now);
    // It responds again, and is recorded as open before anything starts there.
    jobs::worker_report report;
    report.incarnation = 1;
    report.running = running;
    leader.on_report(worker_id("here"), report, now, now);
    now += milliseconds(50);
    leader.decide(now, milliseconds(0), {});
    EXPECT_THAT(
        leader.take_changes().fleet,
        testing::ElementsAre(fleet_part{fleet_part_of(reachable_worker),
                                        {{reachable_worker, std::nullopt}}}));
}
