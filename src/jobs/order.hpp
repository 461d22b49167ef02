// Orders to workers. The caller adds the leader's epoch, which workers
// compare with the highest that they have seen.
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

// Lets a task work at a share of its speed.
struct pace_order
{
    worker_id worker;
    task_key task;
    std::uint32_t run = 0;
    int percent = 100;
};

// Prolongs all that runs on a worker and asks what runs and what ended.
struct poll_order
{
    worker_id worker;
    // Not given while the worker's clock is not known.
    std::optional<worker_clock> deadline;
    // Ends up to this number are stored and may be forgotten.
    std::uint64_t acknowledged = 0;
    // The answer may wait this long for an end.
    std::chrono::milliseconds wait{};
};

using order = std::variant<start_order, stop_order, pace_order, poll_order,
                           advice_request>;

} // namespace hemlockdeal::jobs
