// Orders to workers. The caller adds the leader's epoch, which workers compare
// with the highest epoch they have seen.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "jobs/advice_cache.hpp"
#include "jobs/job.hpp"
#include "jobs/worker_report.hpp"

namespace hemlockdeal::jobs
{

struct start_order
{
    worker_id worker;
    task_key task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint;
    // The worker refuses the start after this time.
    worker_clock deadline{};
    std::string ticket;
};

struct stop_order
{
    worker_id worker;
    task_key task;
    std::uint32_t run = 0;
};

// Limits a task to a percentage of its full speed.
struct pace_order
{
    worker_id worker;
    task_key task;
    std::uint32_t run = 0;
    int percent = 100;
};

// Extends the leases of all runs on a worker and requests a report of active
// and ended runs.
struct poll_order
{
    worker_id worker;
    // Unset while the worker's clock is unknown.
    std::optional<worker_clock> deadline;
    // Ended runs up to this number are stored; the worker may forget them.
    std::uint64_t acknowledged = 0;
    // The worker may delay its response this long until a run ends.
    std::chrono::milliseconds wait{};
};

using order = std::variant<start_order, stop_order, pace_order, poll_order,
                           advice_request>;

} // namespace hemlockdeal::jobs
