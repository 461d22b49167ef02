// Guards against accounts whose figures operators cannot see, and against
// figures of a former leader that stay.
#include <string>

#include <gtest/gtest.h>

#include "entry_metrics.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::adapter;

namespace
{

bool shows(const entry_metrics& metrics, const std::string& line)
{
    return metrics.to_prometheus().find('\n' + line + '\n') !=
           std::string::npos;
}

node::leader_stats stats_of_leader()
{
    jobs::account_report report;
    report.policy = {account_id("big"), 3, {4000, 2000, 5}};
    report.running = {1000, 200, 2};
    report.in_doubt = {500, 100, 1};
    report.jobs = 7;
    report.waiting_tasks = 9;
    report.held_by_cap = 8;
    node::leader_stats stats;
    stats.leads = true;
    stats.accounts = {report};
    return stats;
}

} // namespace

// Failure: operators do not see why the tasks of an account wait.
TEST(account_metrics, figures_of_each_account_are_exposed)
{
    entry_metrics metrics;
    metrics.update(stats_of_leader(), {}, 1, false);
    for (const std::string line :
         {"processor_millis{account=\"big\"} 1000",
          "memory_mb{account=\"big\"} 200", "accelerators{account=\"big\"} 2",
          "processor_millis_in_doubt{account=\"big\"} 500",
          "memory_mb_in_doubt{account=\"big\"} 100",
          "accelerators_in_doubt{account=\"big\"} 1",
          "cap_processor_millis{account=\"big\"} 4000",
          "cap_memory_mb{account=\"big\"} 2000",
          "cap_accelerators{account=\"big\"} 5", "weight{account=\"big\"} 3",
          "jobs{account=\"big\"} 7", "waiting_tasks{account=\"big\"} 9",
          "tasks_held_by_cap{account=\"big\"} 8"})
    {
        EXPECT_TRUE(shows(metrics, "hemlockdeal_account_" + line)) << line;
    }
}

// Failure: a VM that leads no longer goes on showing what accounts had running
// under its lead.
TEST(account_metrics, figures_are_zero_without_the_lead)
{
    entry_metrics metrics;
    metrics.update(stats_of_leader(), {}, 1, false);
    metrics.update({}, {}, 1, false);
    EXPECT_TRUE(shows(
        metrics, R"(hemlockdeal_account_processor_millis{account="big"} 0)"));
    EXPECT_TRUE(shows(metrics,
                      R"(hemlockdeal_account_waiting_tasks{account="big"} 0)"));
}

// Failure: a deployment without accounts has further metrics.
TEST(account_metrics, there_are_none_without_accounts)
{
    entry_metrics metrics;
    node::leader_stats stats;
    stats.leads = true;
    metrics.update(stats, {}, 1, false);
    EXPECT_EQ(metrics.to_prometheus().find("hemlockdeal_account_"),
              std::string::npos);
}
