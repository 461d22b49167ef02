// Guards against accepted jobs that fill the memory of each leader in turn:
// only tasks that have been ordered may have a record.
#include <malloc.h>

#include "scheduler_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{

std::size_t bytes_in_use()
{
    return mallinfo2().uordblks;
}

class job_memory_test : public scheduler_test
{
protected:
    // Runs the simulation at this Unix time. Workers end each task as soon as
    // it is reported.
    void run_at(milliseconds unix_now, duration time)
    {
        const auto end = now + time;
        while (now < end)
        {
            now += milliseconds(20);
            for (const auto& o : leader.decide(now, unix_now, {}))
            {
                if (const auto* const start = std::get_if<start_order>(&o))
                {
                    ++starts[start->task];
                }
                respond(o);
            }
            end_all_runs();
            if (leader.has_changes())
            {
                leader.take_changes();
                leader.on_changes_stored(now);
            }
        }
    }

    void end_all_runs()
    {
        for (auto& [id, runs] : running)
        {
            for (const auto& run : std::exchange(runs, {}))
            {
                ended[id].push_back(
                    {++ends, run.task, run.run, run_end::done, ""});
            }
        }
    }

    live_job& only_job() { return *leader.registry().live().begin()->second; }

    std::map<task_key, unsigned> starts;
    std::uint64_t ends = 0;
};

} // namespace

// Failure: a job that is due each minute for a week takes 8 MB from the moment
// it is read.
TEST_F(job_memory_test, occurrences_that_are_not_due_take_no_memory)
{
    constexpr std::size_t max_bytes_per_job = 20'000;
    constexpr int job_count = 100;
    auto repeated = make_job("j", short_step(1));
    repeated.steps.push_back(short_step(1));
    repeated.steps[1].after = {0};
    repeated.repeats = {10'000, hours(1), minutes(1)};
    add_worker("a");
    leader.begin(now);
    simulate();
    const auto before = bytes_in_use();
    for (int i = 0; i < job_count; ++i)
    {
        repeated.id = job_id("j" + std::to_string(i));
        leader.add_job(repeated);
    }
    simulate();
    EXPECT_LT(bytes_in_use() - before, job_count * max_bytes_per_job);
    // A recovery reads them in the same form.
    scheduler next({}, 2);
    const auto before_recovery = bytes_in_use();
    for (int i = 0; i < job_count; ++i)
    {
        repeated.id = job_id("j" + std::to_string(i));
        next.recover_job(repeated, std::nullopt);
    }
    EXPECT_LT(bytes_in_use() - before_recovery, job_count * max_bytes_per_job);
}

// Failure: each waiting task of a wide step takes 400 bytes.
TEST_F(job_memory_test, waiting_tasks_of_a_wide_step_take_no_memory)
{
    constexpr std::size_t max_bytes_per_job = 20'000;
    constexpr int job_count = 50;
    auto wide = make_job("j", short_step(10'000));
    wide.steps.push_back(short_step(10'000));
    leader.begin(now);
    const auto before = bytes_in_use();
    for (int i = 0; i < job_count; ++i)
    {
        wide.id = job_id("j" + std::to_string(i));
        leader.add_job(wide);
    }
    simulate();
    EXPECT_LT(bytes_in_use() - before, job_count * max_bytes_per_job);
}

// Failure: the bound on accepted work counts less than the jobs take.
TEST_F(job_memory_test, estimate_covers_the_memory_that_jobs_take)
{
    constexpr int job_count = 100;
    auto many_steps = make_job("j", short_step(10));
    many_steps.payload = std::string(4000, 'x');
    for (int i = 1; i < 100; ++i)
    {
        many_steps.steps.push_back(short_step(10));
        many_steps.steps.back().required_label = std::string(30, 'l');
    }
    auto repeated = make_job("j", short_step(1));
    repeated.repeats = {10'000, hours(1), minutes(1)};
    auto running = make_job("j", short_step(150));
    running.steps[0].size = {1, 1, 0};
    add_worker("a");
    leader.begin(now);
    simulate();
    leader.take_events();
    for (const auto& definition : {running, repeated, many_steps})
    {
        const auto before = bytes_in_use();
        const auto estimated_before = leader.registry().memory();
        for (int i = 0; i < job_count; ++i)
        {
            auto j = definition;
            j.id =
                job_id(std::to_string(definition.steps.size()) + "e7a21d94b36" +
                       std::to_string(definition.repeats.count + 100 + i));
            leader.add_job(j);
        }
        simulate();
        leader.take_events();
        const auto taken = bytes_in_use() - before;
        const auto estimate = leader.registry().memory() - estimated_before;
        EXPECT_GE(estimate, taken);
        EXPECT_LE(estimate, 4 * taken);
    }
}

// Failure: of many occurrences that are due at once, some are never started, or
// all of them have records while they wait for room.
TEST_F(job_memory_test, overdue_occurrences_are_activated_as_tasks_start)
{
    auto repeated = make_job("j", short_step(1));
    repeated.repeats = {2000, {}, {}};
    leader.add_job(repeated);
    leader.begin(now);
    run_at(milliseconds(1), seconds(1));
    EXPECT_LE(only_job().active().size(), 32U);
    add_worker("a");
    run_at(milliseconds(1), seconds(20));
    EXPECT_EQ(starts.size(), 2000U);
    EXPECT_TRUE(leader.registry().over().contains(repeated.id));
}

// Failure: the record of an occurrence is created anew by a late report of one
// of its tasks, which then run again.
TEST_F(job_memory_test, late_end_does_not_restart_a_finished_occurrence)
{
    auto repeated = make_job("j", short_step(1));
    repeated.repeats = {2, {}, hours(1)};
    leader.add_job(repeated);
    add_worker("a");
    leader.begin(now);
    run_at(milliseconds(1), seconds(1));
    const task_key first{repeated.id, 0, 0, 0};
    ASSERT_EQ(starts.size(), 1U);
    ended[worker_id("a")].push_back({++ends, first, 9, run_end::failed, ""});
    running[worker_id("a")].push_back({first, 10, "", 50, -1});
    leader.on_report(worker_id("a"), report_of(worker_id("a")), now, now);
    run_at(milliseconds(1), seconds(1));
    EXPECT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[first], 1U);
    run_at(hours(1), seconds(1));
    EXPECT_EQ(starts.size(), 2U);
    EXPECT_TRUE(leader.registry().over().contains(repeated.id));
}

// Failure: after a takeover, an occurrence of which only some tasks are done
// runs as a whole again, or is taken for finished.
TEST_F(job_memory_test, partly_finished_occurrences_are_recovered)
{
    auto repeated = make_job("j", short_step(2));
    repeated.repeats = {3, {}, {}};
    job_progress progress;
    progress.state = job_state::running;
    progress.ordered.emplace();
    progress.done = {{0, 0, 0}, {0, 0, 1}, {2, 0, 1}};
    leader.recover_job(repeated, progress);
    add_worker("a");
    leader.begin(now);
    run_at(milliseconds(1), seconds(2));
    EXPECT_EQ(starts.size(), 3U);
    EXPECT_FALSE(starts.contains({repeated.id, 2, 0, 1}));
    EXPECT_TRUE(leader.registry().over().contains(repeated.id));
}
