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

// Failure: a worker reports an older run of a task, which it has started late,
// while a start of the task is on its way to it. The worker refuses that start,
// and the task stays placed without a run.
TEST_F(scheduler_test, refused_start_beside_a_late_run_is_repeated)
{
    const auto late = order_to_unresponsive_worker();
    const worker_id a("a");
    leader.on_start_answer(a, late.task, late.run, start_answer::unknown, now);
    unresponsive.clear();
    // Otherwise the start would be repeated.
    leader.set_closed_zones({entry("a").zone});
    simulate();
    leader.on_stop_confirmed(a, late.task, late.run, now);
    simulate();
    leader.set_closed_zones({});
    std::vector<start_order> starts;
    for (int i = 0; i < 700 && starts.empty(); ++i)
    {
        now += milliseconds(20);
        for (const auto& o : leader.decide(now, milliseconds(0), {}))
        {
            if (const auto* const start = std::get_if<start_order>(&o))
            {
                starts.push_back(*start);
                continue;
            }
            respond(o);
        }
        leader.take_changes();
        leader.on_changes_stored(now);
    }
    ASSERT_EQ(starts.size(), 1U);
    running[a] = {{late.task, late.run, "", 10, -1}};
    const auto stops = orders_of<stop_order>(simulate());
    ASSERT_FALSE(stops.empty());
    EXPECT_EQ(stops[0].run, late.run);
    leader.on_start_answer(a, starts[0].task, starts[0].run,
                           start_answer::run_too_low, now);
    running[a].clear();
    ended[a] = {{1, late.task, late.run, run_end::stopped, ""}};
    const auto restarts = orders_of<start_order>(simulate());
    ASSERT_EQ(restarts.size(), 1U);
    EXPECT_GT(restarts[0].run, starts[0].run);
}
