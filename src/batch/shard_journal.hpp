// The journal of one owned shard: collects changes, writes them in batched
// rows, and replaces old rows by snapshots. One commit is in flight at a time.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "batch/batch_context.hpp"
#include "batch/job_part.hpp"
#include "core/core.hpp"

namespace hemlockdeal
{

enum class urgency
{
    urgent, // cancellations, and starts of urgent classes
    normal, // starts and new work
    result, // ends of attempts; the worker keeps them until acknowledged
    lazy    // checkpoints
};

// A row that appears in another shard's inbox: transferred tasks, or the
// cancellation of a job whose tasks were transferred before.
struct inbox_message
{
    shard_id to;
    job_part part;
    bool cancellation = false;
};

// One change with the inbox row that caused it and the message that it sends;
// they take effect together.
struct journal_entry
{
    std::optional<journal_record> record;
    std::optional<table_row> consumed;
    std::optional<inbox_message> message;
};

class shard_journal
{
public:
    // What must wait for a change to be durable. Called with every entry of a
    // flush that took effect.
    using flushed_handler =
        std::function<void(const std::vector<journal_entry>&, time_point)>;
    using lost_handler = std::function<void(time_point)>;
    using book = std::map<job_id, std::optional<job_part>>;

    shard_journal(batch_context& context, shard_id shard, row_version row,
                  const book& parts);

    // Sets what recovery found: the last covered row, and the first and the
    // last one that is present, 0 for none.
    void resume(std::uint64_t covered, std::uint64_t first, std::uint64_t last,
                row_version head);

    // Parts that were changed by recovered rows.
    void mark_changed(const job_id& job) { changed_.insert(job); }

    void add(journal_entry entry, urgency when, time_point now);

    // Removes a start that is not yet being written; false when it is too
    // late for that.
    bool withdraw_start(const job_id& job, std::uint32_t index,
                        std::uint32_t number);

    // Whether the end of this attempt has still to become durable.
    bool end_is_pending(const job_id& job, std::uint32_t index,
                        std::uint32_t number) const;

    bool has_pending(const job_id& job) const;
    bool is_idle() const { return !busy_ && waiting_.empty(); }
    std::size_t backlog() const { return waiting_.size(); }
    std::optional<time_point> due() const;
    // Time at which the oldest waiting entry was added.
    std::optional<time_point> oldest() const;

    // Writes what is due. `self` keeps the journal alive for the answer.
    template <typename Owner>
    void on_tick(const std::weak_ptr<Owner>& self, time_point now);

    void on_flushed(flushed_handler handler) { flushed_ = std::move(handler); }
    void on_lost(lost_handler handler) { lost_ = std::move(handler); }
    // Called with parts that were written as ended and may be forgotten.
    void on_ended(std::function<void(const job_id&)> handler)
    {
        ended_ = std::move(handler);
    }

private:
    struct image
    {
        job_id job;
        std::string key;
        std::optional<std::string> deleted_key;
        job_part part;
        bool ended = false;
    };

    using attempt_key = std::tuple<job_id, std::uint32_t, std::uint32_t>;
    // Wraps a handler so that it is not called after the owner is gone.
    using guard = std::function<commit_sender::handler(commit_sender::handler)>;

    struct waiting_entry
    {
        journal_entry entry;
        time_point added;
        time_point due;
        bool start = false;
    };

    void tick(const guard& alive, time_point now);
    std::vector<journal_entry> take_batch();
    void flush(const guard& alive, time_point now);
    void finish_flush(const commit_result& outcome, time_point now);
    void collect_images();
    void compact(const guard& alive, time_point now);
    void finish_compaction(std::size_t images, std::uint64_t deleted_to,
                           const commit_result& outcome, time_point now);
    table_commit commit_with_checks() const;
    bool is_refused(const commit_result& outcome, time_point now);

    batch_context& context_;
    const shard_id shard_;
    const row_version shard_version_;
    const book& parts_;

    // Rows of journal and snapshots. Invariants: rows up to covered_ are
    // contained in snapshots, rows up to deleted_ are deleted, and the next
    // row to be written is next_.
    std::uint64_t covered_ = 0;
    std::uint64_t deleted_ = 0;
    std::uint64_t next_ = 1;
    row_version head_;

    bool busy_ = false;
    std::deque<waiting_entry> waiting_;
    std::vector<journal_entry> in_flight_;
    std::multiset<attempt_key> pending_ends_;
    std::set<job_id> changed_;
    std::vector<image> images_;
    std::uint64_t images_cover_ = 0;
    bool compacting_ = false;

    flushed_handler flushed_;
    lost_handler lost_;
    std::function<void(const job_id&)> ended_;
};

template <typename Owner>
void shard_journal::on_tick(const std::weak_ptr<Owner>& self, time_point now)
{
    tick(
        [self](commit_sender::handler inner) -> commit_sender::handler {
            return [self, inner = std::move(inner)](
                       const commit_result& outcome, time_point at) {
                if (const auto alive = self.lock())
                {
                    inner(outcome, at);
                }
            };
        },
        now);
}

} // namespace hemlockdeal
