// Decisions to avoid workers.
#include "jobs/worker_avoidance.hpp"

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <utility>

namespace hemlockdeal::jobs
{

namespace
{

constexpr duration unhealthy_backoff = std::chrono::seconds(1);
constexpr duration malformed_backoff = std::chrono::seconds(1);
// Different jobs that blame a worker, or whose starts it rejects, after which
// it is avoided.
constexpr std::size_t avoidance_threshold = 2;
// Older failures do not count.
constexpr duration failure_memory = std::chrono::seconds(60);
constexpr std::size_t max_failed_jobs = 8;

failed_job* find_failed_job(fleet_worker& worker, const job_id& id)
{
    auto& jobs = worker.health.failed_jobs;
    const auto found = std::ranges::find(jobs, id, &failed_job::job);
    return found == jobs.end() ? nullptr : &*found;
}

std::size_t blame_count(const fleet_worker& worker)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        worker.health.failed_jobs,
        [](const failed_job& failed) { return failed.blames_worker; }));
}

// True if several other jobs have failed on the worker, and it runs none that
// has outlasted the failed run. Most tasks of a job may run on such workers,
// because failures leave them idle, so that the job seems to fail everywhere.
bool fails_all_jobs(const fleet_worker& worker, const failed_job& failed)
{
    const auto& jobs = worker.health.failed_jobs;
    return jobs.size() > avoidance_threshold &&
           std::ranges::none_of(worker.runs(), [&](const auto& entry) {
               const auto& [key, run] = entry;
               return run.confirmed_at && run.ordered_at <= failed.ordered_at &&
                      std::ranges::find(jobs, key.job, &failed_job::job) ==
                          jobs.end();
           });
}

} // namespace

void worker_avoidance::on_failure(fleet_worker& worker, live_job& owner,
                                  const judged_run& run, time_point now)
{
    const auto& key = run.task;
    auto& step = owner.step_state(key.occurrence, key.step);
    step.outcomes.add_failure(worker.entry.id);
    note_failure(worker, run, now);
    const auto healthy = healthy_workers(owner, run, now);
    const bool is_explained = step.outcomes.explain_failures(healthy);
    step.explains_failures = step.explains_failures && is_explained;
    if (is_explained &&
        !fails_all_jobs(worker, worker.health.failed_jobs.back()))
    {
        exonerate(owner, key, healthy, now);
        return;
    }
    add_blame(worker, run, now);
}

std::size_t worker_avoidance::healthy_workers(const live_job& owner,
                                              const judged_run& run,
                                              time_point now) const
{
    const auto& key = run.task;
    const auto& step = owner.step_state(key.occurrence, key.step);
    const auto& outcomes = step.outcomes;
    const auto running_since = run.ordered_at.value_or(now);
    std::set<worker_id> workers;
    for (const auto& [index, task] : step.tasks)
    {
        if (workers.size() > outcomes.failed_on().size())
        {
            break;
        }
        if (task.phase != task_phase::placed || workers.contains(task.worker) ||
            outcomes.lists(task.worker))
        {
            continue;
        }
        const auto worker = state_.fleet.find(task.worker);
        if (worker == state_.fleet.end())
        {
            continue;
        }
        const auto found = worker->second.runs().find(
            {key.job, key.occurrence, key.step, index});
        if (found != worker->second.runs().end() &&
            found->second.confirmed_at &&
            found->second.ordered_at <= running_since)
        {
            workers.insert(task.worker);
        }
    }
    return workers.size();
}

void worker_avoidance::exonerate(live_job& owner, const task_key& key,
                                 std::size_t healthy, time_point now)
{
    auto& step = owner.step_state(key.occurrence, key.step);
    if (std::exchange(step.explains_failures, true))
    {
        return;
    }
    state_.log_event(
        "failures attributed to the job",
        {{"job", key.job.value()},
         {"step", std::to_string(key.step)},
         {"failed_on", std::to_string(step.outcomes.failed_on().size())},
         {"completed_on", std::to_string(step.outcomes.completed_on().size())},
         {"running_on", std::to_string(healthy)}});
    for (auto& [id, worker] : state_.fleet)
    {
        auto* const failed = find_failed_job(worker, key.job);
        if (failed == nullptr || !failed->blames_worker ||
            fails_all_jobs(worker, *failed))
        {
            continue;
        }
        failed->blames_worker = false;
        if (blame_count(worker) < avoidance_threshold)
        {
            end_avoidance(worker, now, "job explains its failures");
        }
    }
}

void worker_avoidance::note_failure(fleet_worker& worker, const judged_run& run,
                                    time_point now)
{
    auto& jobs = worker.health.failed_jobs;
    const auto* const known = find_failed_job(worker, run.task.job);
    const bool blames_worker = known != nullptr && known->blames_worker;
    std::erase_if(jobs, [&](const failed_job& failed) {
        return failed.job == run.task.job ||
               now - failed.failed_at > failure_memory;
    });
    if (jobs.size() == max_failed_jobs)
    {
        jobs.erase(jobs.begin());
    }
    jobs.push_back(
        {run.task.job, now, run.ordered_at.value_or(now), blames_worker});
}

void worker_avoidance::add_blame(fleet_worker& worker, const judged_run& run,
                                 time_point now)
{
    auto& health = worker.health;
    health.blamed_run_ordered_at =
        std::max(health.blamed_run_ordered_at, run.ordered_at.value_or(now));
    health.failed_jobs.back().blames_worker = true;
    const auto blames = blame_count(worker);
    // Runs that were ordered before the worker was avoided show nothing new.
    const bool is_known = health.avoided_since &&
                          run.ordered_at.value_or(now) <= *health.avoided_since;
    if (blames < avoidance_threshold || is_known ||
        !state_.options.policy.avoids_failing_workers)
    {
        return;
    }
    avoid(worker, now);
    state_.log_event(
        "avoiding worker after repeated failures",
        {{"worker", worker.entry.id.value()},
         {"jobs", std::to_string(blames)},
         {"last_job", run.task.job.value()},
         {"for_ms", std::to_string(health.avoidance.count() / 1000)}});
}

void worker_avoidance::on_completion(fleet_worker& worker, live_job& owner,
                                     const judged_run& run, time_point now)
{
    const auto& key = run.task;
    owner.step_state(key.occurrence, key.step)
        .outcomes.add_completion(worker.entry.id);
    auto& health = worker.health;
    const bool is_proof =
        run.ordered_at && *run.ordered_at >= health.blamed_run_ordered_at;
    if (health.avoided_until > now && !is_proof)
    {
        return;
    }
    health.failed_jobs.clear();
    end_avoidance(worker, now, "a later run has completed");
}

void worker_avoidance::on_malformed_start(fleet_worker& worker,
                                          const task_key& key, time_point now)
{
    auto* const owner = state_.registry.find(key.job);
    if (owner == nullptr || !owner->has(key))
    {
        return;
    }
    owner->task(key).not_before = now + malformed_backoff;
    auto& health = worker.health;
    if (!owner->add_rejection(worker.entry.id) ||
        health.last_rejected_job == key.job)
    {
        return;
    }
    health.last_rejected_job = key.job;
    ++health.rejections;
    if (health.rejections >= avoidance_threshold)
    {
        health.rejecting_until =
            std::max(health.rejecting_until, now + unhealthy_backoff);
    }
}

void worker_avoidance::on_unhealthy_start(fleet_worker& worker, time_point now)
{
    worker.health.rejecting_until =
        std::max(worker.health.rejecting_until, now + unhealthy_backoff);
}

void worker_avoidance::on_accepted_start(fleet_worker& worker, const job_id& id)
{
    worker.health.rejections = 0;
    if (auto* const owner = state_.registry.find(id))
    {
        owner->remove_rejection(worker.entry.id);
    }
}

void worker_avoidance::avoid(fleet_worker& worker, time_point now)
{
    auto& health = worker.health;
    const auto& options = state_.options;
    health.avoidance = std::clamp(
        health.avoidance * 2, options.initial_avoidance, options.max_avoidance);
    health.avoided_until = now + health.avoidance;
    health.avoided_since = now;
}

void worker_avoidance::end_avoidance(fleet_worker& worker, time_point now,
                                     std::string_view reason)
{
    auto& health = worker.health;
    if (health.avoided_until > now)
    {
        state_.log_event("worker no longer avoided",
                         {{"worker", worker.entry.id.value()},
                          {"why", std::string(reason)}});
        worker.note_gained_room();
    }
    health.avoided_until = {};
    health.avoidance = {};
    health.avoided_since.reset();
}

} // namespace hemlockdeal::jobs
