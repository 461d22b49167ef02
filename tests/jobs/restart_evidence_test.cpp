// Guards against tasks that are given up for the crash of a worker process on
// which they did not run.
#include <optional>

#include <gtest/gtest.h>

#include "crash_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::milliseconds;

namespace
{

// A task crashed its first worker. Its second run has been accepted by a worker
// that restarted under its id before, which the leader learns only from a poll
// that it sent before the order.
class restart_evidence_test : public crash_attribution_test
{
protected:
    restart_evidence_test()
    {
        add_workers();
        add_job("a", 1, true);
        simulate(milliseconds(100));
        crash(worker_of("a"));
        for (int i = 0; i < 2000 && starts[job_id("a")] < 2; ++i)
        {
            simulate(milliseconds(10));
        }
    }

    void report_restart(bool lists_run)
    {
        jobs::worker_report report;
        if (lists_run)
        {
            report.running = running[worker_of("a")];
        }
        report_restart(report);
    }

    void report_restart(const ended_run& end)
    {
        jobs::worker_report report;
        report.ended = {end};
        report_restart(report);
    }

    void report_restart(jobs::worker_report report)
    {
        const auto worker = worker_of("a");
        report.incarnation = 2;
        report.clock = worker_clock(milliseconds(772));
        leader->on_report(worker, report, now - milliseconds(1000), now);
        leader->decide(now, milliseconds(0), {});
    }
};

} // namespace

// Failure: a sound job is given up, because a run that the restarted worker
// lists is blamed for the crash of the process before.
TEST_F(restart_evidence_test, run_of_the_later_process_is_no_suspect)
{
    ASSERT_EQ(starts[job_id("a")], 2);
    report_restart(true);
    EXPECT_EQ(state_of("a"), std::nullopt);
}

// Failure: the same, when a poll has failed before the restarted worker lists
// the run.
TEST_F(restart_evidence_test, run_listed_after_a_silence_is_no_suspect)
{
    ASSERT_EQ(starts[job_id("a")], 2);
    leader->on_poll_failed(worker_of("a"), now);
    report_restart(true);
    EXPECT_EQ(state_of("a"), std::nullopt);
}

// Failure: the same, when the run has ended on the restarted worker already.
TEST_F(restart_evidence_test, ended_run_of_the_later_process_is_no_suspect)
{
    ASSERT_EQ(starts[job_id("a")], 2);
    auto& runs = running[worker_of("a")];
    ASSERT_EQ(runs.size(), 1U);
    report_restart({1, runs[0].task, runs[0].run, run_end::stopped, ""});
    EXPECT_EQ(state_of("a"), std::nullopt);
}

// Failure: a task that crashed two workers is started again, because the second
// one restarted unnoticed.
TEST_F(restart_evidence_test, run_of_the_earlier_process_is_a_suspect)
{
    ASSERT_EQ(starts[job_id("a")], 2);
    report_restart(false);
    EXPECT_EQ(state_of("a"), job_state::failed);
}
