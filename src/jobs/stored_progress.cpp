// Tasks in the stored progress of a job.
#include "jobs/stored_progress.hpp"

#include <algorithm>

namespace hemlockdeal::jobs
{

namespace
{

task_key key_of(const job_id& id, const job_progress::task_position& position)
{
    return {id, position.occurrence, position.step, position.index};
}

void add_task_progress(const job_progress::task_position& position,
                       const task_record& record, job_progress& to)
{
    if (record.is_announced)
    {
        to.ordered->push_back(position);
    }
    if (!record.failed_runs.empty() || !record.checkpoint.empty() ||
        !record.crashes.empty())
    {
        to.histories[position] = {record.failed_runs, record.checkpoint,
                                  record.crashes};
    }
}

void restore_ordered(live_job& owner, const job_progress& progress)
{
    for (const auto& position :
         progress.ordered.value_or(std::vector<job_progress::task_position>{}))
    {
        const auto key = key_of(owner.definition().id, position);
        if (owner.has(key))
        {
            owner.task(key).is_announced = true;
            owner.task(key).first_change_set = recovered_set;
        }
    }
}

void restore_done(live_job& owner, const job_progress& progress)
{
    for (const auto& position : progress.done)
    {
        const auto key = key_of(owner.definition().id, position);
        if (owner.has(key))
        {
            owner.set_done(key);
        }
    }
}

void restore_histories(live_job& owner, const job_progress& progress)
{
    for (const auto& [position, history] : progress.histories)
    {
        const auto key = key_of(owner.definition().id, position);
        if (!owner.has(key))
        {
            continue;
        }
        auto& record = owner.task(key);
        record.failed_runs = history.failed_runs;
        record.checkpoint = history.checkpoint;
        record.crashes = history.crashes;
        if (!history.failed_runs.empty())
        {
            record.last_run = std::ranges::max(history.failed_runs);
        }
    }
}

} // namespace

void add_active(std::uint32_t occurrence, const std::vector<step>& steps,
                const occurrence_record& record, job_progress& to)
{
    for (std::uint32_t s = 0; s < record.steps.size(); ++s)
    {
        const auto& step = record.steps[s];
        for (std::uint32_t i = 0; step.done > 0 && i < steps[s].task_count; ++i)
        {
            if (step.is_done(i))
            {
                to.done.push_back({occurrence, s, i});
            }
        }
        for (const auto& [index, task] : step.tasks)
        {
            if (task.phase != task_phase::done)
            {
                add_task_progress({occurrence, s, index}, task, to);
            }
        }
    }
}

void add_finished(std::uint32_t occurrence, const std::vector<step>& steps,
                  job_progress& to)
{
    for (std::uint32_t s = 0; s < steps.size(); ++s)
    {
        for (std::uint32_t i = 0; i < steps[s].task_count; ++i)
        {
            to.done.push_back({occurrence, s, i});
        }
    }
}

void restore_tasks(live_job& owner, const job_progress& progress)
{
    restore_ordered(owner, progress);
    restore_done(owner, progress);
    restore_histories(owner, progress);
}

} // namespace hemlockdeal::jobs
