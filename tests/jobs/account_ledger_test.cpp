// Guards against sums of an account's runs that drift from the workers'
// ledgers.
#include <gtest/gtest.h>

#include "jobs/jobs.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;

namespace
{

const account_id account("a");

run_record make_record(const task_size& size)
{
    run_record run;
    run.size = size;
    run.account = account;
    return run;
}

} // namespace

// Failure: runs of one account count for another one, or runs in doubt do not
// count.
TEST(account_ledger, sums_are_kept_by_account)
{
    account_ledger ledger;
    ledger.add(account, {1000, 200, 1});
    ledger.add(account_id("b"), {500, 100, 0});
    ledger.set_in_doubt({{account, {300, 50, 0}}});
    EXPECT_EQ(ledger.running(account), (task_size{1000, 200, 1}));
    EXPECT_EQ(ledger.total(account), (task_size{1300, 250, 1}));
    EXPECT_EQ(ledger.total(account_id("b")), (task_size{500, 100, 0}));
    ledger.set_in_doubt({});
    EXPECT_EQ(ledger.total(account), (task_size{1000, 200, 1}));
}

// Failure: accounts without runs stay in the sums, and get a part of the
// fleet's shares.
TEST(account_ledger, accounts_without_runs_are_dropped)
{
    account_ledger ledger;
    ledger.add(account, {1000, 200, 1});
    ledger.remove(account, {1000, 200, 1});
    ledger.add(account_id("b"), {});
    EXPECT_TRUE(ledger.all_running().empty());
}

// Failure: a replaced run or the runs before a restart count for ever.
TEST(account_ledger, workers_pass_on_each_change_of_their_runs)
{
    account_ledger ledger;
    fleet_worker worker(worker_entry{}, &ledger);
    const task_key first{job_id("j"), 0, 0, 0};
    const task_key second{job_id("j"), 0, 0, 1};
    worker.add_run(first, make_record({1000, 100, 0}));
    worker.add_run(first, make_record({2000, 100, 0}));
    worker.add_run(second, make_record({500, 100, 0}));
    EXPECT_EQ(ledger.running(account), (task_size{2500, 200, 0}));
    worker.erase_run(second);
    worker.erase_run(second);
    EXPECT_EQ(ledger.running(account), (task_size{2000, 100, 0}));
    worker.restart(2);
    EXPECT_EQ(ledger.running(account), task_size{});
}
