// Guards against tasks that are started again after they were done, because
// their end was not in a report: a worker lists a limited number of ends until
// these have been acknowledged.
#include <map>
#include <memory>
#include <set>
#include <vector>

#include <gtest/gtest.h>

#include "fake_worker.hpp"
#include "store_clock_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint32_t task_count = 40;
constexpr duration work = seconds(1);

// One worker, a store that may be down, and successive leaders.
class incomplete_report_test : public testing::Test
{
protected:
    incomplete_report_test()
    {
        worker.entry.id = worker_id("a");
        worker.entry.service = service_id("s");
        worker.entry.zone = availability_zone_id("z");
        worker.entry.capacity = {16000, 64000, 0};
        worker.entry.incarnation = 1;
        worker.started_at = now;
        step s;
        s.task_count = task_count;
        s.size = {100, 100, 0};
        definition.id = job_id("j");
        definition.policy.service = service_id("s");
        definition.steps = {s};
        begin_leader(std::nullopt);
    }

    void begin_leader(const std::optional<job_progress>& progress)
    {
        leader = std::make_unique<scheduler>(scheduler_options{}, ++epoch);
        leader->set_store_clock(store_clock_at(now));
        leader->set_services({{service_id("s"), {}}});
        leader->recover_job(definition, progress);
        for (const auto& [number, text] : fleet_rows)
        {
            leader->recover_fleet(decode_fleet(text).value());
        }
        leader->set_worker(worker.entry, now);
        leader->begin(now);
    }

    // The leader is killed, and the next one reads what is stored.
    void take_over()
    {
        leader.reset();
        now += seconds(2);
        worker.advance(now);
        begin_leader(decode_progress(progress_row));
    }

    void run_for(duration time)
    {
        const auto end = now + time;
        while (now < end)
        {
            now += milliseconds(20);
            worker.advance(now);
            for (const auto& o : leader->decide(now, milliseconds(0), {}))
            {
                respond(o);
            }
            if (store_is_up && leader->has_changes())
            {
                store();
            }
        }
    }

    void store()
    {
        const auto changes = leader->take_changes();
        for (const auto& [id, text] : changes.jobs)
        {
            progress_row = text;
        }
        for (const auto& part : changes.fleet)
        {
            fleet_rows[part.number] = encode_fleet(part.workers);
        }
        leader->on_changes_stored(now);
    }

    void respond(const order& o)
    {
        if (const auto* const start = std::get_if<start_order>(&o))
        {
            const auto result =
                worker.start(*start, epoch, {100, 100, 0}, work, false, now);
            starts[start->task] += result.has_begun ? 1 : 0;
            leader->on_start_answer(worker.entry.id, start->task, start->run,
                                    result.response, now);
        }
        if (const auto* const stop = std::get_if<stop_order>(&o))
        {
            worker.stop(*stop, epoch);
            leader->on_stop_confirmed(worker.entry.id, stop->task, stop->run,
                                      now);
        }
        if (const auto* const poll = std::get_if<poll_order>(&o))
        {
            if (!is_reachable)
            {
                leader->on_poll_failed(worker.entry.id, now);
                return;
            }
            std::vector<ended_run> acknowledged;
            const auto report = worker.poll(*poll, epoch, now, acknowledged);
            leader->on_report(worker.entry.id, report.value(), now, now);
        }
    }

    std::size_t started_again() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            starts, [](const auto& entry) { return entry.second > 1; }));
    }

    bool is_completed() const { return progress_row == R"({"s":"completed"})"; }

    time_point now{seconds(1000)};
    fake_worker worker;
    job definition;
    std::unique_ptr<scheduler> leader;
    std::uint64_t epoch = 0;
    bool store_is_up = true;
    bool is_reachable = true;
    std::string progress_row;
    std::map<std::uint32_t, std::string> fleet_rows;
    std::map<task_key, unsigned> starts;
};

} // namespace

// Failure: ends that are listed only after others were acknowledged count as
// missing runs, with nothing disturbed.
TEST_F(incomplete_report_test, burst_of_ends_starts_nothing_again)
{
    run_for(seconds(4));
    EXPECT_TRUE(is_completed());
    EXPECT_EQ(started_again(), 0U);
}

// Failure: the same while no end can be stored.
TEST_F(incomplete_report_test, store_outage_starts_nothing_again)
{
    run_for(milliseconds(900));
    ASSERT_EQ(starts.size(), task_count);
    store_is_up = false;
    run_for(milliseconds(4500));
    store_is_up = true;
    // A few polls read the other ends.
    run_for(seconds(1));
    EXPECT_TRUE(is_completed());
    EXPECT_EQ(started_again(), 0U);
}

// Failure: the next leader takes the first report for complete.
TEST_F(incomplete_report_test, takeover_starts_nothing_again)
{
    run_for(milliseconds(900));
    ASSERT_EQ(starts.size(), task_count);
    take_over();
    run_for(seconds(2));
    EXPECT_TRUE(is_completed());
    EXPECT_EQ(started_again(), 0U);
}

// Failure: a new leader that cannot store ends until all earlier leases have
// expired takes the tasks for not running, although it extended the leases.
TEST_F(incomplete_report_test, outage_after_a_takeover_starts_nothing_again)
{
    run_for(milliseconds(900));
    take_over();
    store_is_up = false;
    run_for(seconds(20));
    store_is_up = true;
    run_for(seconds(2));
    EXPECT_TRUE(is_completed());
    EXPECT_EQ(started_again(), 0U);
}

// Failure: after a planned hand-over, the next leader takes the leases of the
// worker for expired before it has read all ends.
TEST_F(incomplete_report_test, hand_over_starts_nothing_again)
{
    run_for(milliseconds(600));
    // The store lists the runs of a worker that does not respond.
    is_reachable = false;
    run_for(milliseconds(300));
    is_reachable = true;
    take_over();
    store_is_up = false;
    run_for(seconds(20));
    const auto leases_end = leader->hand_over(now);
    store();
    leader = std::make_unique<scheduler>(scheduler_options{}, ++epoch);
    leader->set_store_clock(store_clock_at(now));
    leader->set_services({{service_id("s"), {}}});
    leader->recover_job(definition, decode_progress(progress_row));
    for (const auto& [number, text] : fleet_rows)
    {
        leader->recover_fleet(decode_fleet(text).value());
    }
    leader->set_worker(worker.entry, now);
    earlier_leaders predecessors;
    predecessors.last_has_ended = true;
    predecessors.leases_end = leases_end;
    predecessors.bounds_since = 1;
    leader->begin(now, predecessors);
    store_is_up = true;
    run_for(seconds(2));
    EXPECT_TRUE(is_completed());
    EXPECT_EQ(started_again(), 0U);
}
