// Concepts that a platform must satisfy to host the node library.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "jobs/jobs.hpp"
#include "node/store_message.hpp"

namespace hemlockdeal::node
{

// Each call invokes its callback once, on the thread of the event loop.
template <typename Store>
concept row_store =
    requires(Store& store, transaction t, row_range r, std::string table,
             row_version after, duration time,
             std::function<void(transaction_outcome)> on_transaction,
             std::function<void(read_outcome)> on_read,
             std::function<void(feed_outcome)> on_feed)
{
    store.transact(t, time, on_transaction);
    store.read(r, time, on_read);
    // Reads the rows that changed after a version; waits up to `time` for the
    // first change.
    store.feed(table, after, time, on_feed);
};

// The response to a poll; empty if none arrived.
struct poll_response
{
    std::optional<jobs::worker_report> report;
    // The worker has seen a higher fencing token.
    bool is_superseded = false;
};

// Sends orders to workers. The fencing token follows from `epoch` and the order
// (`jobs::order_fence`): workers refuse orders of an earlier leader, and
// those to a former process of theirs.
template <typename Workers>
concept worker_port = requires(
    Workers& workers, const jobs::worker_entry& worker, std::uint64_t epoch,
    jobs::start_order start, jobs::stop_order stop, jobs::pace_order pace,
    jobs::poll_order poll, jobs::advice_request request,
    std::function<void(jobs::start_response)> on_start,
    std::function<void(bool)> on_done,
    std::function<void(poll_response)> on_poll,
    std::function<void(std::optional<jobs::advice_answer>)> on_advice)
{
    workers.start(worker, start, epoch, on_start);
    workers.stop(worker, stop, epoch, on_done);
    workers.pace(worker, pace, epoch, on_done);
    workers.poll(worker, poll, epoch, on_poll);
    workers.advise(request, on_advice);
};

struct worker_change
{
    worker_id id;
    // Empty if the entry was removed or is malformed.
    std::optional<jobs::worker_entry> entry;
    // The entry is there, but cannot be used.
    bool is_malformed = false;
};

struct worker_changes
{
    std::vector<worker_change> changes;
    row_version newest;
    // True if `changes` lists all workers instead of only the changed ones.
    bool is_snapshot = false;
};

using worker_list_outcome =
    std::variant<worker_changes, history_lost, not_done>;

// Reads the platform's worker list.
template <typename List>
concept worker_list =
    requires(List& list, row_version after,
             std::function<void(worker_list_outcome)> on_changes)
{
    list.read_all(on_changes);
    list.read_changes(after, on_changes);
};

} // namespace hemlockdeal::node
