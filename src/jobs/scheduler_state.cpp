// Operations used by several parts of the scheduler.
#include "jobs/scheduler_state.hpp"

#include <algorithm>
#include <chrono>
#include <set>

namespace hemlockdeal::jobs
{

namespace
{

// Size of the block of run numbers that each leader has per task. More runs of
// one task under one leader would indicate a fault.
constexpr std::uint64_t max_runs_per_epoch = 1000;

} // namespace

void set_evidence(run_record& run, const task_record& task)
{
    run.is_suspect = task.needs_trial();
    run.is_trial = run.is_suspect;
    if (run.is_suspect || !task.crashes.empty())
    {
        run.clearance_time = task.crashes.clearance_time();
    }
}

fleet_worker* scheduler_state::find_worker(const worker_id& id)
{
    const auto found = fleet.find(id);
    return found == fleet.end() ? nullptr : &found->second;
}

void scheduler_state::note_withdrawn_start(const account_id& account,
                                           const task_size& size,
                                           time_point may_run_until)
{
    if (!account.empty())
    {
        withdrawn_starts.push_back({account, size, may_run_until});
    }
}

void scheduler_state::note_start_in_doubt(const fleet_worker& worker,
                                          const task_key& key,
                                          const run_record& run, time_point now)
{
    const auto* const order = worker.unanswered.find(key);
    if (order != nullptr && now < order->latest_start)
    {
        note_withdrawn_start(run.account, run.size,
                             order->latest_start +
                                 longest_granted_lease(options));
    }
}

std::uint32_t scheduler_state::next_run(const task_record& task) const
{
    const auto first = (epoch - 1) * max_runs_per_epoch + 1;
    return std::max(task.last_run + 1, static_cast<std::uint32_t>(first));
}

void scheduler_state::log_event(
    std::string message,
    std::vector<std::pair<std::string_view, std::string>> fields)
{
    events.push_back({std::move(message), std::move(fields)});
}

void scheduler_state::note_restart(fleet_worker& worker, time_point now,
                                   std::string_view source)
{
    if (!worker.has_been_seen())
    {
        // It has got no order that extends a lease.
        return;
    }
    worker.note_restart(++restarts, now + options.max_order_delay +
                                        longest_granted_lease(options));
    log_event("restart of worker noticed",
              {{"worker", worker.entry.id.value()},
               {"source", std::string(source)},
               {"restarts", std::to_string(worker.restarts())}});
}

void scheduler_state::stop_run_with_longer_lease(fleet_worker& worker,
                                                 const task_key& key,
                                                 time_point now)
{
    if (has_longer_late_leases(options))
    {
        order_stop(worker, key, now, "lease by the clock of a former process");
    }
}

void scheduler_state::note_executed_order(fleet_worker& worker,
                                          std::uint32_t restarts,
                                          time_point now) const
{
    worker.on_order_executed(restarts, now + longest_granted_lease(options));
}

void scheduler_state::order_start(const live_job& owner, const task_key& key,
                                  fleet_worker& worker, run_record& run,
                                  time_point now)
{
    const auto ticket = advice.ticket({key.job, key.occurrence, key.step},
                                      worker.entry.id, now);
    run.ordered_at = now;
    run.start_deadline =
        worker.clock_at(now) +
        std::chrono::duration_cast<worker_clock>(options.start_validity);
    run.restarts = worker.restarts();
    run.least_clock = worker.least_clock_at(now, options.clock_error);
    worker.note_deadline(run.start_deadline);
    start_order start{worker.entry.id,
                      key,
                      run.run,
                      owner.definition().payload,
                      run.checkpoint_at_start,
                      run.start_deadline,
                      ticket.value_or("")};
    start.is_repeated = run.orders > 1;
    orders.emplace_back(std::move(start));
}

void scheduler_state::requeue(const task_key& key, std::string_view reason)
{
    auto* const owner = registry.find(key.job);
    if (owner == nullptr || !owner->has(key) ||
        owner->task(key).phase != task_phase::placed)
    {
        return;
    }
    log_event("task requeued", {{"task", to_text(key)},
                                {"worker", owner->task(key).worker.value()},
                                {"why", std::string(reason)}});
    owner->set_waiting(key);
}

void scheduler_state::order_stop(fleet_worker& worker, const task_key& key,
                                 time_point now, std::string_view reason)
{
    auto* const run = worker.find_run(key);
    if (run == nullptr || (run->stop_ordered_at &&
                           now - *run->stop_ordered_at < options.stop_retry))
    {
        return;
    }
    if (!run->stop_ordered_at)
    {
        log_event("stopping run", {{"task", to_text(key)},
                                   {"run", std::to_string(run->run)},
                                   {"worker", worker.entry.id.value()},
                                   {"why", std::string(reason)}});
    }
    run->stop_ordered_at = now;
    orders.emplace_back(stop_order{worker.entry.id, key, run->run});
}

void scheduler_state::fail_job(live_job& owner, const task_key& key,
                               time_point now)
{
    const auto& task = owner.task(key);
    log_event("job failed",
              {{"job", key.job.value()},
               {"task", to_text(key)},
               {"failures", std::to_string(task.failed_runs.size())},
               {"crashes", std::to_string(task.crashes.workers.size())}});
    stop_job(owner, now, "job failed");
    // `key` may refer to the job that is removed here.
    finish_job(job_id(key.job), job_state::failed, now);
}

void scheduler_state::finish_job(const job_id& id, job_state state,
                                 time_point now)
{
    std::set<task_key> withdrawn;
    for (const auto& [worker_name, worker] : fleet)
    {
        for (const auto& start : worker.given_up)
        {
            if (start.task.job == id && now < latest_end(start, options))
            {
                withdrawn.insert(start.task);
            }
        }
    }
    registry.finish(id, state, clock.latest_at(now), withdrawn);
}

void scheduler_state::stop_job(const live_job& ended, time_point now,
                               std::string_view reason)
{
    const auto& id = ended.definition().id;
    for (const auto& [k, occurrence] : ended.active())
    {
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s)
        {
            for (const auto& [i, task] : occurrence.steps[s].tasks)
            {
                auto* const worker = find_worker(task.worker);
                if (task.phase == task_phase::placed && worker != nullptr)
                {
                    order_stop(*worker, {id, k, s, i}, now, reason);
                }
            }
        }
    }
}

} // namespace hemlockdeal::jobs
