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
    // The shard that is being read, and its rows so far.
    shard_id shard;
    std::vector<journal_row> journal;
    std::optional<job_part> part;

    void add(const shard_id& found)
    {
        if (seen.insert(found).second)
        {
            open.push_back(found);
        }
    }

    void add_journal(const std::vector<table_row>& rows, time_point now)
    {
        for (const table_row& row : rows)
        {
            std::optional<journal_row> content = decode_journal(row.value, now);
            if (content)
            {
                journal.push_back(std::move(*content));
            }
        }
    }

    // Joins the rows of the shard.
    void finish_part()
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
    r->shard = r->open.back();
    r->open.pop_back();
    r->journal.clear();
    r->part.reset();
    read_journal(r);
}

void job_reader::read_journal(const std::shared_ptr<reading>& r)
{
    context_.reads.all_rows(
        journal_prefix(r->shard),
        [this, r](const result<std::vector<table_row>>& rows, time_point at) {
            if (!is_ok(rows))
            {
                r->done(error_of(rows), at);
                return;
            }
            r->add_journal(value_of(rows), at);
            read_snapshots(r);
        });
}

void job_reader::read_snapshots(const std::shared_ptr<reading>& r)
{
    read_part(r, snapshot_key(r->shard, r->job), [this, r](time_point) {
        read_part(r, ended_key(r->shard, r->job), [this, r](time_point at) {
            r->finish_part();
            read_next_part(r, at);
        });
    });
}

void job_reader::read_part(const std::shared_ptr<reading>& r,
                           const std::string& key,
                           std::function<void(time_point)> next)
{
    context_.reads.row(
        key, [r, next = std::move(next)](const read_sender::row_answer& answer,
                                         time_point at) {
            if (!is_ok(answer))
            {
                r->done(error_of(answer), at);
                return;
            }
            if (!r->part && value_of(answer))
            {
                r->part = decode_part(value_of(answer)->value, at);
            }
            next(at);
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
