// Batching, flushing and compaction of a shard's journal.
#include "batch/shard_journal.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "batch/batch_codec.hpp"

namespace hemlockdeal
{

namespace
{

// Keeps a row small enough to be read quickly at recovery.
constexpr std::size_t entries_per_row = 200;
// The journal's own row takes one of the writes of a commit.
constexpr std::size_t other_writes = max_writes_per_commit - 1;
// The head row takes one of the writes of a compaction.
constexpr std::size_t compaction_writes = max_writes_per_commit - 1;

duration delay_of(urgency when, const batch_options& options)
{
    switch (when)
    {
    case urgency::urgent:
        return options.urgent_flush_interval;
    case urgency::normal:
        return options.flush_interval;
    case urgency::result:
        return options.result_flush_interval;
    case urgency::lazy:
        return 2 * options.result_flush_interval;
    }
    return options.flush_interval;
}

} // namespace

shard_journal::shard_journal(batch_context& context, shard_id shard,
                             row_version row, const book& parts)
    : context_(context), shard_(std::move(shard)), shard_version_(row),
      parts_(parts)
{}

void shard_journal::resume(std::uint64_t covered, std::uint64_t first,
                           std::uint64_t last, row_version head)
{
    covered_ = covered;
    // Covered rows that an interrupted compaction left behind are deleted by
    // the next one.
    deleted_ = first == 0 ? covered : first - 1;
    next_ = std::max(covered, last) + 1;
    head_ = head;
}

void shard_journal::add(journal_entry entry, urgency when, time_point now)
{
    bool start = false;
    if (entry.record)
    {
        start = std::holds_alternative<start_intended>(*entry.record);
        if (const auto* end = std::get_if<attempt_ended>(&*entry.record))
        {
            pending_ends_.emplace(end->job, end->index, end->attempt);
        }
    }
    waiting_.push_back(
        {std::move(entry), now, now + delay_of(when, context_.options), start});
}

bool shard_journal::withdraw_start(const job_id& job, std::uint32_t index,
                                   std::uint32_t number)
{
    return std::erase_if(waiting_, [&](const waiting_entry& waiting) {
               const auto* start =
                   waiting.entry.record
                       ? std::get_if<start_intended>(&*waiting.entry.record)
                       : nullptr;
               return start != nullptr && start->index == index &&
                      start->attempt == number && start->job == job;
           }) > 0;
}

bool shard_journal::end_is_pending(const job_id& job, std::uint32_t index,
                                   std::uint32_t number) const
{
    return context_.options.safeguards.journal_before_acknowledge &&
           pending_ends_.contains({job, index, number});
}

bool shard_journal::has_pending(const job_id& job) const
{
    const auto concerns = [&](const journal_entry& entry) {
        return entry.record && job_of(*entry.record) == job;
    };
    return std::ranges::any_of(waiting_,
                               [&](const waiting_entry& waiting) {
                                   return concerns(waiting.entry);
                               }) ||
           std::ranges::any_of(in_flight_, concerns);
}

std::optional<time_point> shard_journal::due() const
{
    if (busy_ || waiting_.empty())
    {
        return std::nullopt;
    }
    return std::ranges::min_element(waiting_, {}, &waiting_entry::due)->due;
}

std::optional<time_point> shard_journal::oldest() const
{
    if (waiting_.empty())
    {
        return std::nullopt;
    }
    return waiting_.front().added;
}

void shard_journal::tick(const guard& alive, time_point now)
{
    if (busy_)
    {
        return;
    }
    if (compacting_)
    {
        compact(alive, now);
        return;
    }
    const std::optional<time_point> at = due();
    if (at && *at <= now && context_.drain.take(now))
    {
        flush(alive, now);
    }
}

table_commit shard_journal::commit_with_checks() const
{
    // The shard's row proves the epoch. The head row changes with each
    // compaction: it refuses a delayed copy of an old flush, whose journal row
    // has been deleted since and could otherwise be created again.
    return {context_.commits.next_id(),
            {{shard_key(shard_), shard_version_},
             {snapshot_head_key(shard_), head_}},
            {}};
}

std::vector<journal_entry> shard_journal::take_batch()
{
    // Everything else goes before the starts, so that results are not kept
    // back by new work. No other entry can depend on a waiting start.
    std::stable_partition(
        waiting_.begin(), waiting_.end(),
        [](const waiting_entry& waiting) { return !waiting.start; });
    std::vector<journal_entry> batch;
    std::size_t writes = 0;
    while (!waiting_.empty() && batch.size() < entries_per_row)
    {
        journal_entry& entry = waiting_.front().entry;
        const std::size_t more =
            (entry.consumed ? 1U : 0U) + (entry.message ? 1U : 0U);
        if (writes + more > other_writes)
        {
            break;
        }
        writes += more;
        batch.push_back(std::move(entry));
        waiting_.pop_front();
    }
    return batch;
}

void shard_journal::flush(const guard& alive, time_point now)
{
    in_flight_ = take_batch();
    if (in_flight_.empty())
    {
        return;
    }
    busy_ = true;
    table_commit commit = commit_with_checks();
    const std::string key = journal_key(shard_, next_);
    journal_row row{next_, {}};
    for (const journal_entry& entry : in_flight_)
    {
        if (entry.record)
        {
            changed_.insert(job_of(*entry.record));
            row.records.push_back(*entry.record);
        }
    }
    commit.writes.push_back(
        {key, expect_absent{}, encode(row, now, commit.id)});
    std::uint32_t messages = 0;
    for (const journal_entry& entry : in_flight_)
    {
        if (entry.consumed)
        {
            commit.writes.push_back(
                {entry.consumed->key, entry.consumed->version, std::nullopt});
        }
        if (entry.message)
        {
            const inbox_message& message = *entry.message;
            const job_id& job = message.part.job.id;
            // The journal row's number makes the key unique.
            commit.writes.push_back(
                {inbox_prefix(message.to) +
                     (message.cancellation ? "c." : "s.") + job.value() +
                     ".from." + shard_.zone.value() + "." +
                     std::to_string(shard_.number) + "." +
                     std::to_string(next_) + "." + std::to_string(++messages),
                 expect_absent{},
                 message.cancellation ? encode_cancellation(job, commit.id)
                                      : encode(message.part, now, commit.id)});
        }
    }
    if (waiting_.empty() &&
        next_ - deleted_ >= context_.options.compact_after_rows)
    {
        // The parts are now as this row leaves them.
        collect_images();
    }
    context_.commits.submit(
        std::move(commit), key,
        alive([this](const commit_result& outcome, time_point at) {
            finish_flush(outcome, at);
        }),
        now);
}

bool shard_journal::is_refused(const commit_result& outcome, time_point now)
{
    busy_ = false;
    if (outcome.outcome == commit_result::kind::done)
    {
        return false;
    }
    // The shard has another owner, or the state in memory is not that of the
    // table; both end with a new recovery.
    lost_(now);
    return true;
}

void shard_journal::finish_flush(const commit_result& outcome, time_point now)
{
    if (is_refused(outcome, now))
    {
        return;
    }
    ++next_;
    const std::vector<journal_entry> batch = std::exchange(in_flight_, {});
    for (const journal_entry& entry : batch)
    {
        const auto* end =
            entry.record ? std::get_if<attempt_ended>(&*entry.record) : nullptr;
        if (end != nullptr)
        {
            pending_ends_.extract({end->job, end->index, end->attempt});
        }
    }
    compacting_ = images_cover_ + 1 == next_;
    flushed_(batch, now);
}

void shard_journal::collect_images()
{
    images_cover_ = next_;
    for (const job_id& job : changed_)
    {
        const auto found = parts_.find(job);
        if (found == parts_.end() || !found->second)
        {
            continue;
        }
        image taken{job, snapshot_key(shard_, job), std::nullopt,
                    *found->second, false};
        taken.part.covered = images_cover_;
        if (taken.part.is_over())
        {
            taken.ended = true;
            taken.deleted_key =
                std::exchange(taken.key, ended_key(shard_, job));
        }
        images_.push_back(std::move(taken));
    }
    changed_.clear();
}

void shard_journal::compact(const guard& alive, time_point now)
{
    if (!context_.drain.take(now))
    {
        return;
    }
    table_commit commit = commit_with_checks();
    commit.checks.pop_back(); // the head row is written below
    std::size_t writes = 0;
    std::size_t images = 0;
    for (const image& part : images_)
    {
        const std::size_t more = part.deleted_key ? 2U : 1U;
        if (writes + more > compaction_writes)
        {
            break;
        }
        writes += more;
        ++images;
        commit.writes.push_back(
            {part.key, expect_any{}, encode(part.part, now, commit.id)});
        if (part.deleted_key)
        {
            commit.writes.push_back(
                {*part.deleted_key, expect_any{}, std::nullopt});
        }
    }
    std::uint64_t covered = covered_;
    std::uint64_t deleted_to = deleted_;
    if (images == images_.size())
    {
        covered = images_cover_;
        while (deleted_to < covered && writes < compaction_writes)
        {
            ++writes;
            commit.writes.push_back({journal_key(shard_, ++deleted_to),
                                     expect_any{}, std::nullopt});
        }
    }
    commit.writes.push_back(
        {snapshot_head_key(shard_), head_, encode_head(covered, commit.id)});
    busy_ = true;
    context_.commits.submit(
        std::move(commit), snapshot_head_key(shard_),
        alive([this, images, covered, deleted_to](const commit_result& outcome,
                                                  time_point at) {
            covered_ = covered;
            finish_compaction(images, deleted_to, outcome, at);
        }),
        now);
}

void shard_journal::finish_compaction(std::size_t images,
                                      std::uint64_t deleted_to,
                                      const commit_result& outcome,
                                      time_point now)
{
    if (is_refused(outcome, now))
    {
        return;
    }
    head_ = outcome.versions.empty() ? outcome.probe->version
                                     : outcome.versions.back();
    deleted_ = deleted_to;
    const auto written = images_.begin() + static_cast<std::ptrdiff_t>(images);
    std::vector<job_id> over;
    std::for_each(images_.begin(), written, [&](const image& part) {
        if (part.ended && !has_pending(part.job))
        {
            over.push_back(part.job);
        }
    });
    images_.erase(images_.begin(), written);
    compacting_ = !images_.empty() || deleted_ < images_cover_;
    for (const job_id& job : over)
    {
        ended_(job);
    }
}

} // namespace hemlockdeal
