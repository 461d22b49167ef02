// Reads snapshots, then the journal, and adopts what may run.
#include "batch/shard_recovery.hpp"

#include <algorithm>
#include <utility>

#include "batch/batch_codec.hpp"

namespace hemlockdeal
{

shard_recovery::shard_recovery(shard_state& state) : state_(state)
{}

void shard_recovery::on_tick(const std::weak_ptr<void>& alive, time_point now)
{
    if (!state_.active && !state_.lost && !reading_ && now >= next_try_)
    {
        reading_ = true;
        next_try_ = now + state_.context.options.resend_interval;
        read(alive);
    }
}

void shard_recovery::read(const std::weak_ptr<void>& alive)
{
    // The epoch was raised before, so no other owner changes these rows.
    read_sender& reads = state_.context.reads;
    reads.all_rows(
        snapshot_prefix(state_.id),
        [this, alive](const result<std::vector<table_row>>& snapshots,
                      time_point at) {
            if (alive.expired())
            {
                return;
            }
            if (!is_ok(snapshots))
            {
                reading_ = false;
                return;
            }
            take_snapshots(value_of(snapshots), at);
            state_.context.reads.all_rows(
                journal_prefix(state_.id),
                [this, alive](const result<std::vector<table_row>>& journal,
                              time_point read_at) {
                    if (alive.expired())
                    {
                        return;
                    }
                    reading_ = false;
                    if (is_ok(journal))
                    {
                        take_journal(value_of(journal), read_at);
                        activate(read_at);
                    }
                });
        });
}

void shard_recovery::take_snapshots(const std::vector<table_row>& rows,
                                    time_point now)
{
    state_.parts.clear();
    for (const table_row& row : rows)
    {
        if (row.key == snapshot_head_key(state_.id))
        {
            covered_ = decode_head(row.value).value_or(0);
            head_ = row.version;
            continue;
        }
        std::optional<job_part> part = decode_part(row.value, now);
        if (part)
        {
            const job_id job = part->job.id;
            state_.parts[job] = std::move(part);
        }
    }
}

void shard_recovery::take_journal(const std::vector<table_row>& rows,
                                  time_point now)
{
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    for (const table_row& row : rows)
    {
        const std::optional<journal_row> content =
            decode_journal(row.value, now);
        if (!content)
        {
            continue;
        }
        first = first == 0 ? content->sequence : first;
        last = content->sequence;
        if (content->sequence <= covered_)
        {
            continue;
        }
        for (const journal_record& record : content->records)
        {
            std::optional<job_part>& part = state_.parts[job_of(record)];
            if (!part || part->covered < content->sequence)
            {
                apply_record(part, record);
                state_.journal.mark_changed(job_of(record));
            }
        }
    }
    std::erase_if(state_.parts, [](const auto& item) { return !item.second; });
    state_.journal.resume(covered_, first, last, head_);
}

void shard_recovery::activate(time_point now)
{
    const batch_options& options = state_.context.options;
    state_.active = true;
    state_.active_at = now;
    state_.ledger.update_members(now);
    // Without fencing, an older owner's start may still arrive, and a task
    // may still run until its lease ends.
    const time_point settled =
        options.workers_fence ? now : now + options.worker_gone_after;
    if (!options.workers_fence)
    {
        state_.ledger.set_starts_after(settled);
    }
    std::vector<task_ref> active;
    for (auto& [job, part] : state_.parts)
    {
        for (batch_task& task : part->tasks)
        {
            if (!task.is_active())
            {
                continue;
            }
            task.runtime = {};
            task.runtime.adopted = true;
            task.runtime.intent_durable = true;
            task.runtime.settled_at = settled;
            task.runtime.started_at = now;
            task.runtime.checkpointed_at = now;
            task.runtime.stop_wanted =
                part->cancelled || !part->failure.empty();
            active.push_back({&*part, task.index});
        }
    }
    for (const task_ref& ref : active)
    {
        state_.ledger.assign(ref, now);
        if (!options.safeguards.wait_for_fence_before_restart)
        {
            state_.end(ref, attempt_end::lost, now);
        }
    }
    state_.context.event("shard.recovered", state_.id, state_.owner_epoch);
}

} // namespace hemlockdeal
