// Guards single promises of the batch core that the random scenarios do not
// measure: times, bounds, outages, transfers and answers.
#include <gtest/gtest.h>

#include <algorithm>

#include "batch/batch_codec.hpp"
#include "batch/cluster.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::test;
using namespace std::chrono_literals;

namespace
{

std::uint32_t running_tasks(cluster& c)
{
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < c.worker_count(); ++i)
    {
        c.worker(i).advance(c.now());
        sum += static_cast<std::uint32_t>(
            std::ranges::count_if(c.worker(i).tasks, [](const auto& item) {
                return item.second.state == task_state::running;
            }));
    }
    return sum;
}

void expect_no_violations(const cluster& c)
{
    EXPECT_TRUE(c.violations.empty()) << c.violations.front();
}

cluster_options one_zone()
{
    cluster_options options;
    options.zones = 1;
    return options;
}

cancel_outcome outcome_of(cluster& c, std::uint64_t number)
{
    return std::get<cancellation_recorded>(c.answers.at(number)).outcome;
}

} // namespace

// Failure: running work stops, or the worker's leases expire, in an outage of
// the table that is longer than all leases.
TEST(outage, running_work_goes_on_and_its_results_are_kept)
{
    cluster_options options = one_zone();
    options.workers_per_zone = 8;
    cluster c(options);
    c.run_for(5s);
    c.submit(0, "long", 6, 90s, 500);
    c.submit(0, "short", 4, 20s, 500);
    c.run_for(3s);
    EXPECT_EQ(running_tasks(c), 10U);
    c.faults.table_down = true;
    c.run_for(70s);
    EXPECT_EQ(running_tasks(c), 6U);
    c.faults.table_down = false;
    EXPECT_TRUE(c.run_until([&] { return c.all_over(); }, 60s));
    EXPECT_EQ(c.starts("long"), 6U);
    EXPECT_EQ(c.starts("short"), 4U);
    c.check_results();
    expect_no_violations(c);
}

// Failure: the backlog after an outage overloads the table.
TEST(outage, backlog_is_written_slowly)
{
    cluster_options options = one_zone();
    options.daemons_per_zone = 1;
    options.shards_per_zone = 64;
    options.workers_per_zone = 200;
    cluster c(options);
    c.run_for(20s);
    c.submit(0, "job", 240, 12s, 1000);
    c.run_for(10s);
    c.faults.table_down = true;
    c.run_for(20s);
    std::vector<time_point> flushes;
    const auto inner = c.table().before_commit;
    c.table().before_commit = [&](const table_commit& commit) {
        inner(commit);
        if (commit.writes.front().key.starts_with("journal/"))
        {
            flushes.push_back(c.now());
        }
    };
    c.faults.table_down = false;
    c.run_until([&] { return c.all_over(); }, 60s);
    EXPECT_EQ(c.finishes("job"), 240U);
    // Enough to show a rate.
    ASSERT_GT(flushes.size(), 46U);
    for (std::size_t i = 23; i < flushes.size(); ++i)
    {
        EXPECT_GT(flushes[i] - flushes[i - 23], 1s) << i;
    }
    expect_no_violations(c);
}

// Failure: a graceful stop leaves its shards without an owner for the time of
// a lease, or interrupts tasks.
TEST(ownership, a_stop_hands_the_shards_over_at_once)
{
    cluster c(one_zone());
    c.run_for(5s);
    c.submit(0, "job", 8, 20s, 1000);
    c.run_for(3s);
    c.stop(0);
    c.run_for(4s);
    EXPECT_TRUE(c.stopped(0));
    EXPECT_EQ(c.shards_owned(), 2U);
    EXPECT_TRUE(c.run_until([&] { return c.all_over(); }, 60s));
    EXPECT_EQ(c.starts("job"), 8U);
    expect_no_violations(c);
}

// Failure: shards of a dead VM are taken too late or never.
TEST(ownership, shards_of_a_dead_vm_are_taken)
{
    cluster c(one_zone());
    c.run_for(5s);
    c.submit(0, "job", 8, 30s, 1000);
    c.run_for(3s);
    c.replace(0, 60s);
    c.run_for(12s);
    EXPECT_EQ(c.shards_owned(), 2U);
    EXPECT_TRUE(c.run_until([&] { return c.all_over(); }, 60s));
    EXPECT_EQ(c.starts("job"), 8U);
    expect_no_violations(c);
}

// Failure: a VM that returns gets no shards back, or two VMs exchange shards
// without end.
TEST(ownership, shards_are_spread_again)
{
    cluster_options options = one_zone();
    options.shards_per_zone = 8;
    cluster c(options);
    c.run_for(5s);
    c.replace(0, 30s);
    c.run_for(90s);
    EXPECT_EQ(c.shards_owned(), 8U);
    EXPECT_LE(c.shards_owned_by(1), 5U);
    const std::size_t before = c.table().commits;
    std::size_t shard_writes = 0;
    c.table().before_commit = [&](const table_commit& commit) {
        shard_writes += static_cast<std::size_t>(
            std::ranges::count_if(commit.writes, [](const table_write& write) {
                return write.key.starts_with("shard/");
            }));
    };
    c.run_for(30s);
    EXPECT_GT(c.table().commits, before);
    EXPECT_EQ(shard_writes, 0U);
    expect_no_violations(c);
}

// Failure: without fencing at the workers, a new owner starts work before the
// old owner's commands and leases have run out.
TEST(ownership, without_fencing_a_new_owner_waits)
{
    cluster_options options = one_zone();
    options.workers_fence = false;
    options.shards_per_zone = 1;
    cluster c(options);
    c.run_for(45s);
    c.submit(0, "job", 8, 5s, 1000);
    c.run_for(3s);
    const std::size_t owner = c.shards_owned_by(0) == 1 ? 0 : 1;
    c.replace(owner, 60s);
    c.run_for(9s);
    const time_point taken = c.now();
    c.submit(1 - owner, "more", 8, 1s, 500);
    c.run_for(1s);
    EXPECT_TRUE(c.run_until([&] { return c.all_over(); }, 120s));
    EXPECT_GT(c.now() - taken, 20s);
    c.check_results();
    expect_no_violations(c);
}

// Failure: urgent work waits for the ordinary flush or report interval.
TEST(starts, urgent_work_starts_within_a_second)
{
    cluster c({});
    c.run_for(10s);
    for (int i = 0; i < 20; ++i)
    {
        const std::string job = "urgent-" + std::to_string(i);
        c.submit(i % 4, job, 1, 2s, 500, "urgent");
        c.run_for(1s);
        EXPECT_EQ(c.starts(job), 1U) << job;
        c.run_for(777ms);
    }
    expect_no_violations(c);
}

// Failure: a burst of cancellations keeps new work from starting.
TEST(starts, go_on_during_a_burst_of_cancellations)
{
    cluster c(one_zone());
    c.run_for(5s);
    for (int i = 0; i < 400; ++i)
    {
        c.submit(i % 2, "job-" + std::to_string(i), 1, 100s, 3900);
        c.run_for(10ms);
    }
    c.run_for(5s);
    for (int i = 0; i < 400; ++i)
    {
        c.cancel(i % 2, "job-" + std::to_string(i));
        c.run_for(2ms);
    }
    c.submit(0, "new", 4, 1s, 100);
    c.run_for(2s);
    EXPECT_EQ(c.starts("new"), 4U);
    EXPECT_TRUE(c.run_until([&] { return c.all_over(); }, 60s));
    expect_no_violations(c);
}

// Failure: work stays in a zone that is out although another zone has room, is
// lost on the way, or does not return to a zone that is back.
TEST(zones, work_moves_out_and_resumes_elsewhere)
{
    cluster_options options;
    options.workers_per_zone = 6;
    cluster c(options);
    c.run_for(5s);
    c.submit(0, "job", 24, 30s, 1000);
    c.run_for(6s);
    c.set_zone_out(0, true);
    c.run_for(20s);
    std::uint32_t in_zone = 0;
    for (std::size_t i = 0; i < 6; ++i)
    {
        c.worker(i).advance(c.now());
        in_zone += c.worker(i).used().processors.value > 0 ? 1 : 0;
    }
    EXPECT_EQ(in_zone, 0U);
    EXPECT_GT(c.resumes(), 0U);
    EXPECT_TRUE(c.run_until([&] { return c.all_over(); }, 120s));
    EXPECT_EQ(c.finishes("job"), 24U);
    c.set_zone_out(0, false);
    c.run_for(10s);
    c.submit(0, "later", 40, 5s, 1000);
    EXPECT_TRUE(c.run_until([&] { return c.all_over(); }, 120s));
    c.check_results();
    expect_no_violations(c);
}

// Failure: a job that fits nowhere waits for ever without a reason.
TEST(answers, a_job_that_fits_no_worker_is_refused)
{
    cluster c({});
    c.run_for(5s);
    const auto number = c.submit(0, "large", 1, 1s, 99'000);
    c.run_for(1s);
    const auto& refused = std::get<error>(c.answers.at(number));
    EXPECT_EQ(refused.code, error_code::invalid_input);
    EXPECT_NE(refused.message.find("large enough"), std::string::npos);
}

// Failure: a repeated submission runs twice, or another job with the same id
// is accepted.
TEST(answers, a_submission_is_deduplicated_by_its_id)
{
    cluster c({});
    c.run_for(5s);
    const auto first = c.submit(0, "job", 3, 2s, 500);
    c.run_for(1s);
    const auto again = c.submit(1, "job", 3, 2s, 500);
    const auto other = c.submit(1, "job", 4, 2s, 500);
    EXPECT_TRUE(c.run_until([&] { return c.all_over(); }, 30s));
    EXPECT_TRUE(std::holds_alternative<submission_accepted>(c.answers[first]));
    EXPECT_TRUE(std::holds_alternative<submission_accepted>(c.answers[again]));
    EXPECT_EQ(std::get<error>(c.answers[other]).code, error_code::conflict);
    EXPECT_EQ(c.starts("job"), 3U);
}

// Failure: cancellations get a wrong outcome.
TEST(answers, cancellation_outcomes)
{
    cluster c(one_zone());
    c.run_for(5s);
    c.submit(0, "running", 16, 60s, 1000);
    c.run_for(3s);
    c.submit(0, "waiting", 2, 1s, 3500);
    c.run_for(2s);
    const auto never = c.cancel(1, "waiting");
    const auto stopped = c.cancel(1, "running");
    const auto unknown = c.cancel(1, "nothing");
    c.run_for(5s);
    EXPECT_EQ(outcome_of(c, never), cancel_outcome::never_ran);
    EXPECT_EQ(outcome_of(c, stopped), cancel_outcome::was_stopped);
    EXPECT_EQ(std::get<error>(c.answers.at(unknown)).code,
              error_code::not_found);
    c.submit(0, "short", 2, 1s, 100);
    c.run_for(15s);
    const auto finished = c.cancel(0, "short");
    c.run_for(3s);
    EXPECT_EQ(outcome_of(c, finished), cancel_outcome::already_finished);
    expect_no_violations(c);
}

// Failure: a query does not say where the tasks are or why they wait.
TEST(answers, a_query_tells_states_and_the_reason_to_wait)
{
    cluster_options options = one_zone();
    options.shards_per_zone = 1;
    cluster c(options);
    c.run_for(5s);
    c.submit(0, "running", 4, 60s, 3900);
    c.run_for(3s);
    c.submit(0, "waiting", 3, 60s, 3900);
    c.run_for(3s);
    std::vector<std::uint64_t> queries = {c.query(0, "waiting"),
                                          c.query(1, "waiting")};
    c.run_for(1s);
    bool reason = false;
    for (const std::uint64_t number : queries)
    {
        const auto status = std::get<job_status>(c.answers.at(number));
        EXPECT_EQ(status.tasks_by_state.at("waiting"), 3U);
        reason = reason || !status.waiting_reason.empty();
    }
    EXPECT_TRUE(reason);
}

// Failure: the journal grows without bound, so that recovery takes ever
// longer.
TEST(journal, rows_are_replaced_by_snapshots)
{
    cluster c(one_zone());
    c.run_for(5s);
    for (int i = 0; i < 150; ++i)
    {
        c.submit(i % 2, "job-" + std::to_string(i), 2, 500ms, 500);
        c.run_for(900ms);
    }
    EXPECT_TRUE(c.run_until([&] { return c.all_over(); }, 60s));
    for (std::uint32_t n = 0; n < 2; ++n)
    {
        const shard_id shard{availability_zone_id("zone-0"), n};
        EXPECT_LT(
            c.table().rows({0, journal_prefix(shard), "", 500}).rows.size(),
            40U);
        // Ended parts are not read again at recovery.
        EXPECT_LT(
            c.table().rows({0, snapshot_prefix(shard), "", 500}).rows.size(),
            60U);
    }
    expect_no_violations(c);
}
