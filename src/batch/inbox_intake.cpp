// Reads the inbox in bounded passes.
#include "batch/inbox_intake.hpp"

#include <algorithm>
#include <utility>

#include "batch/batch_codec.hpp"

namespace hemlockdeal
{

namespace
{

// With more unwritten changes than this the inbox waits, so that a burst does
// not grow the memory of the owner.
constexpr std::size_t backlog_limit = 400;
constexpr duration early_retry = std::chrono::milliseconds(100);

} // namespace

inbox_intake::inbox_intake(shard_state& state) : state_(state)
{}

void inbox_intake::on_tick(const std::weak_ptr<void>& alive, time_point now)
{
    if (!state_.may_act(now) || state_.releasing || reads_in_flight_ > 0 ||
        now < next_read_ || state_.journal.backlog() > backlog_limit)
    {
        return;
    }
    next_read_ = now + state_.context.options.inbox_poll;
    // This read is sent after these rows were deleted.
    deleted_.clear();
    more_ = false;
    // Each kind has half of the pass, so that neither holds up the other.
    const auto limit = static_cast<std::uint32_t>(
        state_.context.options.inbox_rows_per_pass / 2);
    for (const char* kind : {"s.", "c."})
    {
        ++reads_in_flight_;
        state_.context.reads.rows(
            inbox_prefix(state_.id) + kind, "", limit,
            [this, alive, work = *kind == 's'](
                const read_sender::page_answer& answer, time_point at) {
                if (alive.expired())
                {
                    return;
                }
                --reads_in_flight_;
                if (!is_ok(answer) || !state_.may_act(at) || state_.releasing)
                {
                    work_complete_ = false;
                    return;
                }
                const table_page& page = value_of(answer);
                more_ = more_ || page.more;
                if (work)
                {
                    work_complete_ = !page.more;
                }
                take_page(alive, page.rows, at);
                if (reads_in_flight_ == 0)
                {
                    on_read_done(at);
                }
            });
    }
}

void inbox_intake::on_read_done(time_point now)
{
    if (work_complete_)
    {
        for (auto& [key, readings] : early_)
        {
            ++readings;
        }
    }
    if (more_)
    {
        next_read_ = now;
    }
    else if (!early_.empty())
    {
        next_read_ = std::min(next_read_, now + early_retry);
    }
}

void inbox_intake::take_page(const std::weak_ptr<void>& alive,
                             const std::vector<table_row>& rows, time_point now)
{
    const std::size_t kind = inbox_prefix(state_.id).size();
    for (const table_row& row : rows)
    {
        if (taken_.contains(row.key) || deleted_.contains(row.key) ||
            row.key.size() <= kind)
        {
            continue;
        }
        if (row.key[kind] == 's')
        {
            take_work(alive, row, now);
        }
        else
        {
            take_cancellation(alive, row, now);
        }
    }
}

void inbox_intake::take_work(const std::weak_ptr<void>& alive,
                             const table_row& row, time_point now)
{
    std::optional<job_part> part = decode_part(row.value, now);
    if (!part)
    {
        state_.context.event("inbox.invalid", state_.id, state_.owner_epoch,
                             row.key);
        skip(row, now);
        return;
    }
    const bool transferred =
        row.key.find(".from.", inbox_prefix(state_.id).size()) !=
        std::string::npos;
    if (transferred && state_.find_part(part->job.id) == nullptr)
    {
        // The shard may have had other tasks of the job before.
        load_ended(alive, row, part->job.id, false);
        return;
    }
    bind(row, std::move(*part), now);
}

void inbox_intake::bind(const table_row& row, job_part part, time_point now)
{
    taken_.insert(row.key);
    part.covered = 0;
    // Work that was waiting for a place is not delayed by the full interval.
    const work_class* kind = state_.context.class_of(part.job);
    const urgency when =
        kind != nullptr && kind->urgent ? urgency::urgent : urgency::normal;
    state_.change({part_bound{std::move(part)}, row, std::nullopt}, when, now);
}

void inbox_intake::take_cancellation(const std::weak_ptr<void>& alive,
                                     const table_row& row, time_point now)
{
    const std::optional<job_id> job = decode_cancellation(row.value);
    if (!job)
    {
        skip(row, now);
        return;
    }
    job_part* part = state_.find_part(*job);
    if (part != nullptr)
    {
        early_.erase(row.key);
        cancel(row, *part, now);
        return;
    }
    // The submission was written before the cancellation. Two complete
    // readings without it show that it was taken earlier.
    if (early_.try_emplace(row.key, 0).first->second >= 2)
    {
        early_.erase(row.key);
        load_ended(alive, row, *job, true);
    }
}

void inbox_intake::load_ended(const std::weak_ptr<void>& alive,
                              const table_row& row, const job_id& job,
                              bool is_cancellation)
{
    taken_.insert(row.key);
    state_.context.reads.row(
        ended_key(state_.id, job),
        [this, alive, row, job, is_cancellation](
            const read_sender::row_answer& answer, time_point at) {
            if (alive.expired())
            {
                return;
            }
            taken_.erase(row.key);
            if (!is_ok(answer) || !state_.may_act(at) || state_.releasing)
            {
                return;
            }
            const std::optional<table_row>& found = value_of(answer);
            std::optional<job_part> ended =
                found ? decode_part(found->value, at) : std::nullopt;
            if (ended && state_.find_part(job) == nullptr)
            {
                ended->covered = 0;
                state_.change(part_bound{std::move(*ended)}, urgency::normal,
                              at);
            }
            job_part* part = state_.find_part(job);
            if (!is_cancellation)
            {
                bind(row, *decode_part(row.value, at), at);
            }
            else if (part != nullptr)
            {
                cancel(row, *part, at);
            }
            else
            {
                skip(row, at);
            }
        });
}

void inbox_intake::cancel(const table_row& row, job_part& part, time_point now)
{
    const job_id job = part.job.id;
    // Tasks that were moved on are cancelled where they are now.
    const bool first = !part.cancelled;
    const std::set<shard_id> moved_to = part.moved_to;
    for (const batch_task& task : part.tasks)
    {
        if (task.is_active())
        {
            state_.stop({&part, task.index}, now);
        }
    }
    taken_.insert(row.key);
    state_.change({part_cancelled{job}, row, std::nullopt}, urgency::urgent,
                  now);
    if (!first)
    {
        return;
    }
    for (const shard_id& shard : moved_to)
    {
        inbox_message message;
        message.to = shard;
        message.part.job.id = job;
        message.cancellation = true;
        state_.change({std::nullopt, std::nullopt, std::move(message)},
                      urgency::urgent, now);
    }
}

void inbox_intake::skip(const table_row& row, time_point now)
{
    taken_.insert(row.key);
    state_.change({std::nullopt, row, std::nullopt}, urgency::result, now);
}

void inbox_intake::on_flushed(const std::vector<journal_entry>& batch)
{
    for (const journal_entry& entry : batch)
    {
        if (entry.consumed)
        {
            taken_.erase(entry.consumed->key);
            // A read in flight may have been answered before the deletion.
            deleted_.insert(entry.consumed->key);
        }
    }
}

} // namespace hemlockdeal
