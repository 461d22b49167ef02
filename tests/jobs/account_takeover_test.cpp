// Guards against accounts that exceed their cap because a new leader does not
// count what its predecessor may have started.
#include <chrono>
#include <string>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "account_fixture.hpp"
#include "store_clock_fixture.hpp"
#include "takeover_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// The worker "here" responds; "lost" may run anything.
class account_takeover_test : public takeover_test
{
protected:
    account_takeover_test()
    {
        leader.set_store_clock(store_clock_at(now));
        account_limits limits;
        limits.adopt(make_accounts({policy}), now, seconds(4));
        leader.set_account_limits(limits);
        leader.recover_fleet({{worker_id("here"), std::nullopt},
                              {worker_id("lost"), std::nullopt}});
        leader.set_worker(entry("here"), now);
    }

    job account_job(const std::string& name) const
    {
        auto j = definition;
        j.id = job_id(name);
        j.steps[0].task_count = 1;
        j.account = policy;
        return j;
    }

    bool has_started(const std::string& name) const
    {
        return ran_on.contains({job_id(name), 0, 0, 0});
    }

    const accounts::account_policy policy = make_policy("acc", 1000);
};

} // namespace

// Failure: the leader is killed between the announcement and the start of a
// task, and the next one does not count it.
TEST_F(account_takeover_test, announced_task_counts_until_the_leases_end)
{
    job_progress progress;
    progress.state = job_state::running;
    progress.ordered = {{0, 0, 0}};
    leader.recover_job(account_job("announced"), progress);
    leader.recover_job(account_job("fresh"), std::nullopt);
    leader.begin(now);
    simulate(seconds(5));
    EXPECT_FALSE(has_started("announced"));
    EXPECT_FALSE(has_started("fresh"));
    simulate(seconds(20));
    EXPECT_NE(has_started("announced"), has_started("fresh"));
}

// Failure: a job that was cancelled just before the takeover no longer counts,
// although its worker has not been seen.
TEST_F(account_takeover_test, runs_of_a_job_cancelled_just_before_count)
{
    job_progress progress;
    progress.state = job_state::cancelled;
    progress.ending = {{0, 0, 0}};
    progress.ended_at = store_time_at(now - seconds(1));
    leader.recover_job(account_job("cancelled"), progress);
    leader.recover_job(account_job("fresh"), std::nullopt);
    leader.begin(now);
    simulate(seconds(5));
    EXPECT_FALSE(has_started("fresh"));
    simulate(seconds(20));
    EXPECT_TRUE(has_started("fresh"));
}

// Failure: an earlier cancellation holds the account back after each takeover.
TEST_F(account_takeover_test, jobs_that_ended_long_ago_do_not_count)
{
    job_progress progress;
    progress.state = job_state::cancelled;
    progress.ending = {{0, 0, 0}};
    progress.ended_at = store_time_at(now - seconds(70));
    leader.recover_job(account_job("cancelled"), progress);
    leader.recover_job(account_job("fresh"), std::nullopt);
    leader.begin(now);
    simulate(seconds(1));
    EXPECT_TRUE(has_started("fresh"));
}

// Failure: a reported run of a job that is over counts with no size, or for
// nobody.
TEST_F(account_takeover_test, reported_run_of_an_ended_job_counts)
{
    job_progress progress;
    progress.state = job_state::cancelled;
    progress.ending = {{0, 0, 0}};
    progress.ended_at = store_time_at(now - seconds(1));
    leader.recover_job(account_job("cancelled"), progress);
    leader.recover_job(account_job("fresh"), std::nullopt);
    leader.set_worker(entry("lost"), now);
    all_respond = true;
    const task_key over{job_id("cancelled"), 0, 0, 0};
    running.push_back({over, 1, "", 0, -1});
    ran_on[over] = worker_id("lost");
    leader.begin(now);
    simulate(seconds(5));
    EXPECT_FALSE(has_started("fresh"));
    EXPECT_EQ(leader.accounts(now).at(0).running, (task_size{1000, 100, 0}));
    running.clear();
    simulate(seconds(1));
    EXPECT_TRUE(has_started("fresh"));
}

// Failure: a new leader with an older configuration than its predecessor starts
// tasks by caps that are no longer in force.
TEST_F(account_takeover_test, older_configuration_starts_no_account_tasks)
{
    leader.recover_job(account_job("fresh"), std::nullopt);
    auto others = account_job("others");
    others.account.reset();
    leader.recover_job(others, std::nullopt);
    leader.begin(now);
    permission.may_start_account_tasks = false;
    simulate(seconds(2));
    EXPECT_FALSE(has_started("fresh"));
    EXPECT_TRUE(has_started("others"));
    permission.may_start_account_tasks = true;
    simulate(seconds(1));
    EXPECT_TRUE(has_started("fresh"));
}
