// What a worker's report changes: ends of attempts, checkpoints, capacity, and
// the proof that an attempt does not run.
#include <algorithm>
#include <utility>
#include <variant>

#include "batch/worker_driver.hpp"

namespace hemlockdeal
{

void worker_driver::on_report(const worker_id& id,
                              const worker_report_reply& reply,
                              time_point sent_at, time_point now)
{
    worker_state* worker = state_.ledger.find(id);
    if (worker == nullptr || !state_.may_act(now))
    {
        return;
    }
    if (const auto* fenced = std::get_if<worker_fenced>(&reply))
    {
        on_fenced(*fenced);
        return;
    }
    // An older request may have carried a lower epoch, and an older report
    // must not replace a newer one.
    if (sent_at < state_.active_at || sent_at < worker->report_sent_at ||
        (worker->reported && sent_at == worker->report_sent_at))
    {
        return;
    }
    worker->asked_at.reset();
    worker->next_visit_at = std::min(worker->next_visit_at, now);
    if (const auto* report = std::get_if<worker_report>(&reply))
    {
        worker->reported = true;
        worker->report_sent_at = sent_at;
        worker->report_received_at = now;
        worker->token = report->start_token;
        take_report(*worker, *report, now);
    }
}

void worker_driver::take_report(worker_state& worker,
                                const worker_report& report, time_point now)
{
    worker.acknowledge.clear();
    worker.unknown = {};
    std::vector<worker_command> stops;
    resources listed;
    for (const task_status& status : report.tasks)
    {
        if (status.state == task_state::running)
        {
            listed += status.used;
        }
        take_status(worker, status, stops, now);
    }
    // Services share the worker with batch work.
    resources other = report.used - listed;
    other.processors.value = std::max<std::int64_t>(other.processors.value, 0);
    other.memory.value = std::max<std::int64_t>(other.memory.value, 0);
    other.accelerators.value =
        std::max<std::int64_t>(other.accelerators.value, 0);
    worker.unknown += other;
    end_unlisted(worker, report, now);
    if (!stops.empty())
    {
        send(worker, std::move(stops), {}, now);
    }
    state_.placement_wanted = true;
    state_.observations.push_back({{}, 0, worker.id, std::nullopt, {}, {}});
}

void worker_driver::take_status(worker_state& worker, const task_status& status,
                                std::vector<worker_command>& stops,
                                time_point now)
{
    const job_id& job = status.id.task.job;
    job_part* part = state_.find_part(job);
    batch_task* task =
        part == nullptr ? nullptr : part->find(status.id.task.index);
    const bool running = status.state == task_state::running;
    const bool current = task != nullptr && task->is_active() &&
                         task->attempt == status.id.number.value() &&
                         task->worker == worker.id;
    if (current && running)
    {
        take_running({part, task->index}, status, now);
        return;
    }
    if (current)
    {
        const attempt_end how =
            status.state == task_state::finished ? attempt_end::finished
            : status.state == task_state::failed ? attempt_end::failed
                                                 : attempt_end::stopped;
        state_.end({part, task->index}, how, now, &status);
        return;
    }
    if (running)
    {
        worker.unknown += part == nullptr ? status.used : part->job.task_size;
        if (status.shard == state_.id)
        {
            worker_command stop;
            stop.verb = worker_verb::stop;
            stop.id = status.id;
            stops.push_back(std::move(stop));
        }
        return;
    }
    if (!state_.journal.end_is_pending(
            job, status.id.task.index,
            static_cast<std::uint32_t>(status.id.number.value())))
    {
        worker.acknowledge.push_back(status.id);
    }
}

void worker_driver::take_running(const task_ref& ref, const task_status& status,
                                 time_point now)
{
    batch_task& task = ref.task();
    task.phase = task_phase::running;
    task.runtime.adopted = false;
    task.runtime.start_sent = true;
    task.runtime.settled_at = std::min(task.runtime.settled_at, now);
    task.runtime.used = status.used;
    if (status.checkpoint.empty() || status.checkpoint == task.checkpoint)
    {
        return;
    }
    task.runtime.checkpointed_at = now;
    state_.change(attempt_checkpointed{ref.part->job.id, ref.index,
                                       task.attempt, status.checkpoint,
                                       status.progress},
                  urgency::lazy, now);
}

void worker_driver::end_unlisted(worker_state& worker,
                                 const worker_report& report, time_point now)
{
    const std::vector<task_ref> assigned = worker.assigned;
    for (const task_ref& ref : assigned)
    {
        const batch_task& task = ref.task();
        const bool listed =
            std::ranges::any_of(report.tasks, [&](const task_status& status) {
                return status.id.task.index == ref.index &&
                       status.id.number.value() == task.attempt &&
                       status.id.task.job == ref.part->job.id;
            });
        if (!listed && worker.report_sent_at >= task.runtime.settled_at)
        {
            state_.end(ref, attempt_end::lost, now);
        }
    }
}

} // namespace hemlockdeal
