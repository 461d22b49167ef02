// Changes of an owned shard.
#include "batch/shard_state.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace hemlockdeal
{

shard_state::shard_state(batch_context& shared, shard_id shard,
                         epoch taken_epoch, row_version row, time_point now)
    : context(shared), id(std::move(shard)), owner_epoch(taken_epoch),
      version(row), acquired_at(now), ledger(shared, id),
      journal(shared, id, row, parts)
{}

void shard_state::change(journal_record record, urgency when, time_point now)
{
    change(journal_entry{std::move(record), std::nullopt, std::nullopt}, when,
           now);
}

void shard_state::change(journal_entry entry, urgency when, time_point now)
{
    if (entry.record)
    {
        std::optional<job_part>& part = parts[job_of(*entry.record)];
        const auto* ended = std::get_if<attempt_ended>(&*entry.record);
        if (ended != nullptr && part)
        {
            ledger.release({&*part, ended->index}, now);
        }
        apply_record(part, *entry.record);
        const auto* start = std::get_if<start_intended>(&*entry.record);
        if (start != nullptr && part)
        {
            ledger.assign({&*part, start->index}, now);
        }
        placement_wanted = true;
        if (!part)
        {
            parts.erase(job_of(*entry.record));
            return;
        }
    }
    journal.add(std::move(entry), when, now);
}

void shard_state::end(const task_ref& ref, attempt_end how, time_point now,
                      const task_status* status)
{
    const batch_task& task = ref.task();
    attempt_ended record{
        ref.part->job.id, ref.index, task.attempt, how, {}, 0.0, {}, false};
    if (status != nullptr)
    {
        record.checkpoint = status->checkpoint;
        record.progress = status->progress;
        record.error = status->error;
    }
    if (how == attempt_end::failed)
    {
        std::set<worker_id> workers(task.failed_on.begin(),
                                    task.failed_on.end());
        workers.insert(task.worker);
        // A shard with fewer workers than the limit must still give up.
        record.for_good =
            workers.size() >= context.options.failures_for_good ||
            task.failures + 1 >= 2 * context.options.failures_for_good;
    }
    if (how == attempt_end::lost &&
        !context.options.safeguards.remember_intents_as_run)
    {
        record.how = attempt_end::voided;
    }
    if (how == attempt_end::finished || how == attempt_end::failed)
    {
        observations.push_back({ref.part->job, ref.index, task.worker, how,
                                now - task.runtime.started_at, record.error});
    }
    static constexpr const char* kinds[] = {
        "task.finish", "task.fail", "task.stopped", "task.lost", "task.void"};
    record_event(kinds[static_cast<std::size_t>(how)], *ref.part, task,
                 record.error);
    const bool for_good = record.for_good;
    job_part& part = *ref.part;
    change(std::move(record), urgency::result, now);
    if (for_good)
    {
        for (const batch_task& other : part.tasks)
        {
            if (other.is_active())
            {
                stop({&part, other.index}, now);
            }
        }
    }
}

bool shard_state::withdraw(const task_ref& ref, time_point now)
{
    batch_task& task = ref.task();
    if (task.phase != task_phase::intent || task.runtime.start_sent ||
        task.runtime.adopted)
    {
        return false;
    }
    if (task.runtime.intent_durable)
    {
        end(ref, attempt_end::voided, now);
        return true;
    }
    if (!journal.withdraw_start(ref.part->job.id, ref.index, task.attempt))
    {
        return false;
    }
    // The journal never sees this start, so memory forgets it too. Its
    // attempt number is used again, which is safe: no worker has seen it.
    ledger.release(ref, now);
    task.phase = task_phase::waiting;
    --task.attempt;
    task.may_have_run = task.ran_before_attempt;
    task.worker = worker_id();
    task.runtime = {};
    close_waiting(*ref.part);
    placement_wanted = true;
    return true;
}

void shard_state::stop(const task_ref& ref, time_point now)
{
    if (withdraw(ref, now))
    {
        return;
    }
    batch_task& task = ref.task();
    if (!task.runtime.stop_wanted)
    {
        task.runtime.stop_wanted = true;
        task.runtime.next_stop_at = now;
    }
    worker_state* worker = ledger.find(task.worker);
    if (worker != nullptr)
    {
        worker->next_visit_at = std::min(worker->next_visit_at, now);
    }
}

job_part* shard_state::find_part(const job_id& job)
{
    const auto found = parts.find(job);
    return found == parts.end() || !found->second ? nullptr : &*found->second;
}

void shard_state::record_event(std::string kind, const job_part& part,
                               const batch_task& task, std::string text)
{
    timeline_event e;
    e.kind = std::move(kind);
    e.job = part.job.id.value();
    e.task = task.index;
    e.attempt = task.attempt;
    e.worker = task.worker.value();
    e.shard = id.zone.value() + "/" + std::to_string(id.number);
    e.epoch = owner_epoch.value();
    e.zone = id.zone.value();
    e.text = std::move(text);
    context.actions.emplace_back(hemlockdeal::record_event{std::move(e)});
}

} // namespace hemlockdeal
