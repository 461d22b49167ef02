// Guards against a task that no longer runs because a second run of it, left
// over from an earlier leader, has ended.
#include "scheduler_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::milliseconds;

namespace
{

// A long-running task runs on "a", and with a higher number on "b".
class superseded_run_test : public scheduler_test
{
protected:
    superseded_run_test()
    {
        auto s = short_step(1);
        s.is_long_running = true;
        running[worker_id("a")] = {{task, 1, "", 100, -1}};
        running[worker_id("b")] = {{task, 2, "", 100, -1}};
        leader.add_job(make_job("j", s));
        leader.begin(now);
        add_worker("a");
        simulate();
        add_worker("b");
        simulate();
    }

    void stop(const std::string& worker, std::uint32_t run)
    {
        running[worker_id(worker)].clear();
        ended[worker_id(worker)] = {{1, task, run, run_end::stopped, ""}};
    }

    static std::vector<stop_order> stops_in(const std::vector<order>& orders)
    {
        return orders_of<stop_order>(orders);
    }

    const task_key task{job_id("j"), 0, 0, 0};
};

} // namespace

// Failure: the end of the second run stops the first one, and the task stays
// placed without a run.
TEST_F(superseded_run_test, end_of_the_other_run_keeps_the_current_one)
{
    stop("b", 2);
    EXPECT_TRUE(stops_in(simulate()).empty());
}

// Failure: the task is not started again once its current run has ended, too.
TEST_F(superseded_run_test, task_starts_again_after_both_runs_have_ended)
{
    stop("b", 2);
    simulate();
    stop("a", 1);
    const auto starts = orders_of<start_order>(simulate());
    ASSERT_EQ(starts.size(), 1U);
    // Workers refuse a number that they have seen.
    EXPECT_GT(starts[0].run, 2U);
}
