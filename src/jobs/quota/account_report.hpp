// What operators see of client accounts.
#pragma once

#include <cstddef>
#include <vector>

#include "accounts/accounts.hpp"
#include "jobs/job.hpp"

namespace hemlockdeal::jobs
{

struct scheduler_state;
struct decision_event;

struct account_report
{
    // With the cap that binds.
    accounts::account_policy policy;
    task_size running;
    // Runs that may be on workers, but are in the ledger of none.
    task_size in_doubt;
    // Jobs that have not ended.
    std::size_t jobs = 0;
    // Tasks that are not placed, including those of steps that are not open.
    std::size_t waiting_tasks = 0;
    // Those for which the cap leaves no room at present.
    std::size_t held_by_cap = 0;
};

// One for each account of the configuration and each one with jobs.
std::vector<account_report> account_reports(const scheduler_state& state,
                                            time_point now);

// A log event with the accounts that have the most waiting tasks. The number
// of accounts bounds the length of its line.
decision_event account_summary(const scheduler_state& state, time_point now);

} // namespace hemlockdeal::jobs
