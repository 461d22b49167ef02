// Reconstructs job parts from rows. The journal is read before the snapshot:
// what a compaction moves in between is then found in the snapshot.
#include "batch/job_reader.hpp"

#include <algorithm>
#include <utility>

namespace hemlockdeal
{

struct job_reader::reading
{
    job_id job;
    handler done;
    job_state state;
    std::vector<shard_id> open;
    std::set<shard_id> seen;
    std::vector<journal_row> journal;
    std::optional<job_part> part;

    void add(const shard_id& shard)
    {
        if (seen.insert(shard).second)
        {
            open.push_back(shard);
        }
    }

    // Joins the rows of one shard.
    void finish_part(const shard_id& shard)
    {
        for (const journal_row& row : journal)
        {
            for (const journal_record& record : row.records)
            {
                if (job_of(record) == job &&
                    (!part || part->covered < row.sequence))
                {
                    apply_record(part, record);
                }
            }
        }
        if (!part)
        {
            return;
        }
        for (const shard_id& next : part->moved_to)
        {
            add(next);
        }
        state.parts.emplace_back(shard, std::move(*part));
    }
};

void job_reader::read(const job_id& job, handler done)
{
    auto r = std::make_shared<reading>();
    r->job = job;
    r->done = std::move(done);
    context_.reads.row(
        job_key(job),
        [this, r](const read_sender::row_answer& answer, time_point at) {
            if (!is_ok(answer))
            {
                r->done(error_of(answer), at);
                return;
            }
            const std::optional<table_row>& row = value_of(answer);
            const std::optional<job_row> content =
                row ? decode_job(row->value) : std::nullopt;
            if (!content)
            {
                r->done(std::optional<job_state>(), at);
                return;
            }
            r->state.row = *content;
            for (const job_row_part& part : content->parts)
            {
                r->add(part.shard);
            }
            read_next_part(r, at);
        });
}

void job_reader::read_next_part(const std::shared_ptr<reading>& r,
                                time_point now)
{
    if (r->open.empty())
    {
        r->done(std::optional<job_state>(std::move(r->state)), now);
        return;
    }
    const shard_id shard = r->open.back();
    r->open.pop_back();
    r->journal.clear();
    r->part.reset();
    const auto finish = [this, r, shard](time_point at) {
        r->finish_part(shard);
        read_next_part(r, at);
    };
    const auto read_part = [this, r](const std::string& key, auto next) {
        return [this, r, key, next](time_point) {
            context_.reads.row(
                key, [r, next](const read_sender::row_answer& answer,
                               time_point read_at) {
                    if (!is_ok(answer))
                    {
                        r->done(error_of(answer), read_at);
                        return;
                    }
                    if (!r->part && value_of(answer))
                    {
                        r->part = decode_part(value_of(answer)->value, read_at);
                    }
                    next(read_at);
                });
        };
    };
    const auto read_snapshot =
        read_part(snapshot_key(shard, r->job),
                  read_part(ended_key(shard, r->job), finish));
    context_.reads.all_rows(
        journal_prefix(shard),
        [r, read_snapshot](const result<std::vector<table_row>>& rows,
                           time_point at) {
            if (!is_ok(rows))
            {
                r->done(error_of(rows), at);
                return;
            }
            for (const table_row& row : value_of(rows))
            {
                std::optional<journal_row> content =
                    decode_journal(row.value, at);
                if (content)
                {
                    r->journal.push_back(std::move(*content));
                }
            }
            read_snapshot(at);
        });
}

std::uint32_t job_state::not_bound() const
{
    std::set<std::uint32_t> bound;
    for (const auto& [shard, part] : parts)
    {
        for (const batch_task& task : part.tasks)
        {
            bound.insert(task.index);
        }
    }
    return row.tasks -
           std::min(row.tasks, static_cast<std::uint32_t>(bound.size()));
}

cancel_outcome job_state::cancelled_as() const
{
    bool ran = false;
    bool cancelled = false;
    for (const auto& [shard, part] : parts)
    {
        for (const batch_task& task : part.tasks)
        {
            if (!task.is_over())
            {
                return cancel_outcome::unknown_yet;
            }
            ran = ran || task.may_have_run;
            cancelled = cancelled || task.phase == task_phase::cancelled;
        }
    }
    if (not_bound() > 0)
    {
        return cancel_outcome::unknown_yet;
    }
    if (!cancelled)
    {
        return cancel_outcome::already_finished;
    }
    return ran ? cancel_outcome::was_stopped : cancel_outcome::never_ran;
}

job_status job_state::status(const job_id& job) const
{
    job_status status;
    status.id = job;
    for (const auto& [shard, part] : parts)
    {
        status.shards.push_back(shard);
        for (const batch_task& task : part.tasks)
        {
            ++status.tasks_by_state[phase_name(task)];
            status.evictions += task.evictions;
        }
        if (!part.failure.empty())
        {
            status.waiting_reason = "failed: " + part.failure;
        }
    }
    if (not_bound() > 0)
    {
        status.tasks_by_state["submitted"] += not_bound();
    }
    return status;
}

} // namespace hemlockdeal
