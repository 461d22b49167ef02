// Statistics of the leader, for metrics.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "jobs/jobs.hpp"

namespace hemlockdeal::node
{

struct leader_stats
{
    bool leads = false;
    std::uint64_t epoch = 0;
    std::size_t live_jobs = 0;
    // Estimate in bytes.
    std::uint64_t job_memory = 0;
    std::size_t workers = 0;
    std::size_t tasks_without_room = 0;
    std::uint64_t starts = 0;
    std::uint64_t starts_refused = 0;
    std::uint64_t starts_unanswered = 0;
    std::uint64_t starts_repeated = 0;
    std::uint64_t stops = 0;
    std::uint64_t paces = 0;
    std::uint64_t polls = 0;
    std::uint64_t polls_failed = 0;
    std::uint64_t transactions = 0;
    // Transactions that the store did not accept as they were.
    std::uint64_t transactions_rejected = 0;
    // Jobs that ended as failed because the store did not accept their
    // progress.
    std::uint64_t jobs_not_storable = 0;
    // By client account; empty if this VM does not lead.
    std::vector<jobs::account_report> accounts;
};

} // namespace hemlockdeal::node
