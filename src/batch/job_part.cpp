// State changes of a job part.
#include "batch/job_part.hpp"

#include <algorithm>
#include <iterator>

namespace hemlockdeal
{

namespace
{

// Waiting tasks of a part that is given up wait no longer.
void close_if_waiting(const job_part& part, batch_task& task)
{
    if (task.phase != task_phase::waiting)
    {
        return;
    }
    if (part.cancelled)
    {
        task.phase = task_phase::cancelled;
    }
    else if (!part.failure.empty())
    {
        task.phase = task_phase::failed;
    }
}

void apply(job_part& part, const start_intended& record)
{
    batch_task* task = part.find(record.index);
    if (task == nullptr || task->phase != task_phase::waiting ||
        record.attempt <= task->attempt)
    {
        return;
    }
    task->phase = task_phase::intent;
    task->attempt = record.attempt;
    task->worker = record.worker;
    task->list_version = record.list_version;
    task->ran_before_attempt = task->may_have_run;
    task->may_have_run = true;
    task->runtime = {};
}

void take_checkpoint(batch_task& task, const std::string& checkpoint,
                     double progress)
{
    if (!checkpoint.empty())
    {
        task.checkpoint = checkpoint;
        task.progress = progress;
    }
}

void apply(job_part& part, const attempt_ended& record)
{
    batch_task* task = part.find(record.index);
    if (task == nullptr || !task->is_active() ||
        task->attempt != record.attempt)
    {
        return;
    }
    const worker_id worker = task->worker;
    task->worker = worker_id();
    task->runtime = {};
    task->phase = task_phase::waiting;
    switch (record.how)
    {
    case attempt_end::finished:
        task->phase = task_phase::finished;
        task->progress = 1.0;
        break;
    case attempt_end::failed:
        ++task->failures;
        if (std::ranges::find(task->failed_on, worker) == task->failed_on.end())
        {
            task->failed_on.push_back(worker);
        }
        if (record.for_good)
        {
            task->phase = task_phase::failed;
            part.failure = record.error.empty() ? "the task failed on several "
                                                  "workers"
                                                : record.error;
            close_waiting(part);
        }
        break;
    case attempt_end::stopped:
        task->evictions += part.cancelled ? 0U : 1U;
        take_checkpoint(*task, record.checkpoint, record.progress);
        break;
    case attempt_end::lost:
        break;
    case attempt_end::voided:
        task->may_have_run = task->ran_before_attempt;
        break;
    }
    close_if_waiting(part, *task);
}

void apply(job_part& part, const attempt_checkpointed& record)
{
    batch_task* task = part.find(record.index);
    if (task != nullptr && task->is_active() && task->attempt == record.attempt)
    {
        take_checkpoint(*task, record.checkpoint, record.progress);
    }
}

void apply(job_part& part, const part_cancelled&)
{
    part.cancelled = true;
    close_waiting(part);
}

void apply(job_part& part, const tasks_moved& record)
{
    std::erase_if(part.tasks, [&](const batch_task& task) {
        return !task.is_active() &&
               std::ranges::find(record.indexes, task.index) !=
                   record.indexes.end();
    });
    part.moved_to.insert(record.to);
}

} // namespace

batch_task* job_part::find(std::uint32_t index)
{
    const auto found =
        std::ranges::lower_bound(tasks, index, {}, &batch_task::index);
    return found != tasks.end() && found->index == index ? &*found : nullptr;
}

const batch_task* job_part::find(std::uint32_t index) const
{
    const auto found =
        std::ranges::lower_bound(tasks, index, {}, &batch_task::index);
    return found != tasks.end() && found->index == index ? &*found : nullptr;
}

bool job_part::is_over() const
{
    return std::ranges::all_of(
        tasks, [](const batch_task& task) { return task.is_over(); });
}

void close_waiting(job_part& part)
{
    for (batch_task& task : part.tasks)
    {
        close_if_waiting(part, task);
    }
}

const job_id& job_of(const journal_record& record)
{
    return std::visit(
        [](const auto& r) -> const job_id& {
            if constexpr (std::is_same_v<std::decay_t<decltype(r)>, part_bound>)
            {
                return r.part.job.id;
            }
            else
            {
                return r.job;
            }
        },
        record);
}

void merge_tasks(job_part& part, const job_part& more)
{
    std::vector<batch_task> merged;
    merged.reserve(part.tasks.size() + more.tasks.size());
    std::ranges::set_union(part.tasks, more.tasks, std::back_inserter(merged),
                           {}, &batch_task::index, &batch_task::index);
    part.tasks = std::move(merged);
    part.cancelled = part.cancelled || more.cancelled;
    if (part.failure.empty())
    {
        part.failure = more.failure;
    }
    part.moved_to.insert(more.moved_to.begin(), more.moved_to.end());
    close_waiting(part);
}

void apply_record(std::optional<job_part>& part, const journal_record& record)
{
    if (const auto* bound = std::get_if<part_bound>(&record))
    {
        if (!part)
        {
            part = bound->part;
            close_waiting(*part);
            return;
        }
        merge_tasks(*part, bound->part);
        return;
    }
    if (!part)
    {
        return;
    }
    std::visit(
        [&](const auto& r) {
            if constexpr (!std::is_same_v<std::decay_t<decltype(r)>,
                                          part_bound>)
            {
                apply(*part, r);
            }
        },
        record);
}

std::string phase_name(const batch_task& task)
{
    switch (task.phase)
    {
    case task_phase::waiting:
        return task.attempt == 0 ? "waiting" : "waiting_to_resume";
    case task_phase::intent:
        return "starting";
    case task_phase::running:
        return "running";
    case task_phase::finished:
        return "finished";
    case task_phase::failed:
        return "failed";
    case task_phase::cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace hemlockdeal
