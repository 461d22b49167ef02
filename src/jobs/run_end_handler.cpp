// Effects of ended runs on their tasks, jobs and workers.
#include "jobs/run_end_handler.hpp"

#include <algorithm>
#include <string>

namespace hemlockdeal::jobs
{

void run_end_handler::on_report(fleet_worker& worker,
                                const worker_report& report, time_point now)
{
    for (const auto& end : report.ended)
    {
        if (is_new_end(worker, end))
        {
            worker.taken_ends = std::max(worker.taken_ends, end.number);
            handle_end(worker, end, now);
        }
    }
}

bool run_end_handler::is_new_end(fleet_worker& worker, const ended_run& end)
{
    if (end.number > 0)
    {
        return end.number > worker.taken_ends;
    }
    const auto* const run = worker.find_run(end.task);
    if (run != nullptr && run->run == end.run)
    {
        return true;
    }
    // The ledger of a new leader holds no run that ended before.
    auto* const owner = state_.registry.find(end.task.job);
    if (owner == nullptr || !owner->has(end.task))
    {
        return false;
    }
    if (end.how == run_end::failed)
    {
        const auto& counted = owner->task(end.task).failed_runs;
        return std::ranges::find(counted, end.run) == counted.end();
    }
    return end.how == run_end::done &&
           !owner->step_of(end.task).is_long_running &&
           owner->task(end.task).phase != task_phase::done;
}

void run_end_handler::handle_end(fleet_worker& worker, const ended_run& end,
                                 time_point now)
{
    judged_run judged{end.task, {}};
    const auto* const run = worker.find_run(end.task);
    if (run != nullptr && run->run == end.run)
    {
        judged.ordered_at = run->ordered_at;
        note_found(worker, end.task, *run);
        state_.note_start_in_doubt(worker, end.task, *run, now);
        worker.erase_run(end.task);
    }
    auto* const owner = state_.registry.find(end.task.job);
    if (owner == nullptr || !owner->has(end.task))
    {
        hold_end(worker, end, now);
        return;
    }
    auto& task = owner->task(end.task);
    const bool is_current = task.phase == task_phase::placed &&
                            task.worker == worker.entry.id &&
                            task.current_run == end.run;
    task.last_run = std::max(task.last_run, end.run);
    state_.log_event("run ended", {{"task", to_text(end.task)},
                                   {"run", std::to_string(end.run)},
                                   {"worker", worker.entry.id.value()},
                                   {"how", std::string(to_text(end.how))}});
    const bool is_long_running = owner->step_of(end.task).is_long_running;
    if (end.how == run_end::done && !is_long_running)
    {
        hold_end(worker, end, now);
        handle_done(worker, *owner, judged, now);
        return;
    }
    if (end.how == run_end::failed)
    {
        handle_failure(worker, *owner, end, judged, is_current, now);
        return;
    }
    if (!end.checkpoint.empty() &&
        (is_current || task.phase == task_phase::waiting))
    {
        task.checkpoint = end.checkpoint;
        state_.registry.mark_changed(end.task.job);
    }
    if (end.how == run_end::unrecognized)
    {
        avoidance_.on_failure(worker, *owner, judged, now);
        task.failed_on.add(worker.entry.id);
    }
    if (is_current)
    {
        owner->set_waiting(end.task);
    }
}

void run_end_handler::hold_end(fleet_worker& worker, const ended_run& end,
                               time_point now)
{
    const bool counts = end.how == run_end::done || end.how == run_end::failed;
    if (counts && end.number > 0 && worker.unanswered.may_start(end.task, now))
    {
        worker.held_ends[end.number] =
            worker.unanswered.find(end.task)->latest_start;
    }
}

void run_end_handler::handle_done(fleet_worker& worker, live_job& owner,
                                  const judged_run& run, time_point now)
{
    const auto& key = run.task;
    avoidance_.on_completion(worker, owner, run, now);
    // Another copy of the task is no longer needed.
    auto* const other = state_.find_worker(owner.task(key).worker);
    if (other != nullptr && other != &worker)
    {
        state_.order_stop(*other, key, now, "task already done");
    }
    if (!owner.set_done(key))
    {
        return;
    }
    if (owner.step_of(key).is_gang)
    {
        complete_gang(owner, key);
    }
    state_.registry.mark_changed(key.job);
    if (owner.is_complete())
    {
        state_.log_event("job completed", {{"job", key.job.value()}});
        state_.finish_job(key.job, job_state::completed, now);
    }
}

void run_end_handler::complete_gang(live_job& owner, const task_key& key)
{
    for (std::uint32_t i = 0; i < owner.step_of(key).task_count; ++i)
    {
        owner.set_done({key.job, key.occurrence, key.step, i});
    }
}

void run_end_handler::handle_failure(fleet_worker& worker, live_job& owner,
                                     const ended_run& end,
                                     const judged_run& run, bool is_current,
                                     time_point now)
{
    if (!owner.add_failure(end.task, end.run))
    {
        return;
    }
    avoidance_.on_failure(worker, owner, run, now);
    state_.registry.mark_changed(end.task.job);
    auto& task = owner.task(end.task);
    task.failed_on.add(worker.entry.id);
    if (!end.checkpoint.empty())
    {
        task.checkpoint = end.checkpoint;
    }
    if (is_current)
    {
        owner.set_waiting(end.task);
    }
    if (owner.has_failed(end.task) && task.phase != task_phase::done)
    {
        hold_end(worker, end, now);
        state_.fail_job(owner, end.task, now);
    }
}

} // namespace hemlockdeal::jobs
