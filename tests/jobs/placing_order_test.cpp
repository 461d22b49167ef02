// Guards against fill jobs that are served too late under overload, and against
// jobs that are never served.
#include <gtest/gtest.h>

#include "jobs/placing_order.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds accepted_at{1'000'000};

live_job make_fill_job(const std::string& id, milliseconds estimate,
                       milliseconds accepted = accepted_at)
{
    job j;
    j.id = job_id(id);
    j.accepted_at = accepted;
    j.policy.stretch = 2.0;
    j.policy.slack = milliseconds(1000);
    step s;
    s.fills = true;
    s.estimate = estimate;
    j.steps.push_back(s);
    return live_job(j);
}

placing_position position(const live_job& owner, milliseconds waited)
{
    return placing_position_of(owner, 0, 0, accepted_at + waited, duration{});
}

} // namespace

// Failure: a long job with an early latest start goes before several short ones
// that would be done in the meantime.
TEST(placing_order_test, shorter_path_goes_first)
{
    const auto long_job = make_fill_job("a", milliseconds(8000));
    const auto short_job =
        make_fill_job("b", milliseconds(500), accepted_at + milliseconds(9000));
    const auto waited = milliseconds(9000);
    EXPECT_LT(position(short_job, waited), position(long_job, waited));
    policy_switches old_order;
    old_order.orders_fills_by_path = false;
    const auto now = accepted_at + milliseconds(8000);
    EXPECT_GT(placing_position_of(short_job, 0, 0, now, duration{}, old_order),
              placing_position_of(long_job, 0, 0, now, duration{}, old_order));
}

// Failure: a job that can no longer be in time takes the place of one that can.
TEST(placing_order_test, late_jobs_come_after_those_in_time)
{
    const auto late = make_fill_job("a", milliseconds(500));
    const auto fresh = make_fill_job("b", milliseconds(4000),
                                     accepted_at + milliseconds(2900));
    const auto waited = milliseconds(3000);
    EXPECT_EQ(position(late, waited).group, priority_group::late);
    EXPECT_LT(position(fresh, waited), position(late, waited));
    EXPECT_EQ(position(late, milliseconds(8000)).group,
              priority_group::expired);
}

// Failure: a job starves, because shorter ones keep coming.
TEST(placing_order_test, old_job_goes_before_all_other_fill_tasks)
{
    const auto old_job = make_fill_job("a", milliseconds(8000));
    const auto target = milliseconds(17000);
    const auto waited = starvation_factor * target + milliseconds(1);
    const auto fresh =
        make_fill_job("b", milliseconds(1), accepted_at + waited);
    EXPECT_LT(position(old_job, waited), position(fresh, waited));
    EXPECT_GT(position(old_job, waited - milliseconds(2)),
              position(fresh, waited));
}

// Failure: a serving task that failed is not started again for twelve seconds,
// because short tasks take all room that becomes free (LOST on a day of 370
// workers, 96 % of whose processors were reserved).
TEST(placing_order_test, delayed_serving_task_goes_before_urgent_ones)
{
    job serving;
    serving.id = job_id("serving");
    serving.accepted_at = accepted_at;
    serving.steps.push_back({});
    serving.steps.front().is_long_running = true;
    job urgent;
    urgent.id = job_id("urgent");
    urgent.accepted_at = accepted_at;
    urgent.policy.slack = milliseconds(500);
    urgent.steps.push_back({});
    const live_job serving_job(serving);
    const live_job urgent_job(urgent);
    const auto at = [](const live_job& owner, duration waited) {
        return placing_position_of(owner, 0, 0, accepted_at, waited);
    };
    EXPECT_GT(at(serving_job, milliseconds(100)), at(urgent_job, duration{}));
    EXPECT_LT(at(serving_job, max_long_running_wait + milliseconds(1)),
              at(urgent_job, duration{}));
}
