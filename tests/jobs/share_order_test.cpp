// Guards against accounts that take the room of others when there is too little
// for all: plays a load and checks what each account gets.
#include <chrono>
#include <string>

#include <gtest/gtest.h>

#include "account_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// Four workers with 16 cores each.
class share_order_test : public account_test
{
protected:
    share_order_test()
    {
        for (const auto* name : {"w0", "w1", "w2", "w3"})
        {
            add_worker(name);
        }
        leader.begin(now);
        simulate();
    }
};

} // namespace

// Failure: the tasks of the step that comes first take all room at once.
TEST_F(share_order_test, wide_steps_leave_room_for_other_accounts)
{
    std::vector<accounts::account_policy> policies;
    for (char name = 'a'; name < 'i'; ++name)
    {
        policies.push_back(make_policy(std::string(1, name)));
    }
    adopt(policies);
    for (const auto& policy : policies)
    {
        const auto name = policy.id.value() + "-1";
        add_job(name, policy, step_of(name, 64, 1));
    }
    simulate();
    for (const auto& policy : policies)
    {
        EXPECT_EQ(cores_of(policy.id.value()), 8) << policy.id.value();
    }
}

// Failure: an account that sends ten times its share delays nineteen others
// that send less than theirs.
TEST_F(share_order_test, overloading_account_does_not_delay_the_others)
{
    std::vector<accounts::account_policy> policies{make_policy("a-hot")};
    for (int i = 0; i < 19; ++i)
    {
        policies.push_back(make_policy("n" + std::to_string(i)));
    }
    adopt(policies);
    constexpr auto run_time = milliseconds(500);
    std::size_t late = 0;
    for (int round = 0; round < 20; ++round)
    {
        const auto hot = "a-hot" + std::to_string(round);
        add_job(hot, policies[0], step_of(hot, 64, 1));
        for (std::size_t i = 1; i < policies.size(); ++i)
        {
            // One of the 3.2 cores of its share.
            const auto name =
                policies[i].id.value() + "-" + std::to_string(round);
            add_job(name, policies[i], step_of(name, 1, 1));
        }
        simulate_load(run_time, run_time);
        // A task waits for at most one run to end.
        for (std::size_t i = 1; i < policies.size() && round >= 2; ++i)
        {
            const job_id earlier(policies[i].id.value() + "-" +
                                 std::to_string(round - 2));
            late += leader.registry().over().contains(earlier) ? 0U : 1U;
        }
    }
    EXPECT_EQ(late, 0U);
    // The hot account uses what they leave.
    EXPECT_GT(cores_of("a-hot"), 16);
}

// Failure: capacity is divided by the number of tasks, so that large ones get
// more of it.
TEST_F(share_order_test, large_and_small_tasks_count_by_work)
{
    const auto large = make_policy("large");
    const auto small = make_policy("small");
    adopt({large, small});
    add_job("large", large, step_of("large", 100, 8));
    add_job("small", small, step_of("small", 1000, 1));
    simulate_load(seconds(3), milliseconds(500));
    EXPECT_NEAR(static_cast<double>(cores_of("large")), 32.0, 8.0);
    EXPECT_NEAR(static_cast<double>(cores_of("small")), 32.0, 8.0);
}

// Failure: weights are not followed.
TEST_F(share_order_test, capacity_is_divided_by_weight)
{
    const auto a = make_policy("a", 0, 3);
    const auto b = make_policy("b", 0, 1);
    adopt({a, b});
    add_job("a", a, step_of("a", 200, 1));
    add_job("b", b, step_of("b", 200, 1));
    simulate();
    EXPECT_EQ(cores_of("a"), 48);
    EXPECT_EQ(cores_of("b"), 16);
}

// Failure: capacity stays idle because its account has no work.
TEST_F(share_order_test, unused_share_goes_to_the_others)
{
    const auto a = make_policy("a");
    adopt({a, make_policy("b", 0, 9)});
    add_job("a", a, step_of("a", 100, 1));
    simulate();
    EXPECT_EQ(cores_of("a"), 64);
}

// Failure: jobs without an account get nothing, or more than one account of
// mean weight.
TEST_F(share_order_test, jobs_without_an_account_count_as_one_account)
{
    const auto a = make_policy("a", 0, 1);
    const auto b = make_policy("b", 0, 3);
    adopt({a, b});
    add_job("a", a, step_of("a", 100, 1));
    add_job("b", b, step_of("b", 100, 1));
    add_job("others1", {}, step_of("others1", 100, 1));
    add_job("others2", {}, step_of("others2", 100, 1));
    simulate();
    // Weights 1, 3 and 2.
    EXPECT_NEAR(static_cast<double>(cores_of("a")), 64.0 / 6, 1.5);
    EXPECT_NEAR(static_cast<double>(cores_of("b")), 192.0 / 6, 1.5);
    EXPECT_NEAR(static_cast<double>(cores_of("others")), 128.0 / 6, 1.5);
}

// Failure: an account with waiting work gets nothing while another one keeps
// the fleet full.
TEST_F(share_order_test, late_account_gets_its_share_as_runs_end)
{
    const auto a = make_policy("a");
    const auto b = make_policy("b");
    adopt({a, b});
    add_job("a", a, step_of("a", 1000, 1));
    simulate_load(seconds(1), seconds(1));
    add_job("b", b, step_of("b", 1000, 1));
    simulate_load(milliseconds(1500), seconds(1));
    EXPECT_EQ(cores_of("b"), 32);
}
