// Orders to workers. The caller adds the leader's epoch, from which and from
// `restarts` the fencing token follows: workers refuse an order with a lower
// token than the highest that they have seen.
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

// The token rises with each leader and, for one leader, with each restart of
// the worker that it has noticed. Orders to the former process of a worker that
// has restarted under its id are refused by the later one, which cannot tell
// them apart otherwise, from its first order with the higher token on.
std::uint64_t order_fence(std::uint64_t epoch, std::uint32_t restarts);

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
    std::uint32_t restarts = 0;
    // An earlier order for the same run got no response.
    bool is_repeated = false;
};

struct stop_order
{
    worker_id worker;
    task_key task;
    std::uint32_t run = 0;
    std::uint32_t restarts = 0;
};

// Limits a task to a percentage of its full speed.
struct pace_order
{
    worker_id worker;
    task_key task;
    std::uint32_t run = 0;
    int percent = 100;
    std::uint32_t restarts = 0;
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
    std::uint32_t restarts = 0;
};

using order = std::variant<start_order, stop_order, pace_order, poll_order,
                           advice_request>;

} // namespace hemlockdeal::jobs
