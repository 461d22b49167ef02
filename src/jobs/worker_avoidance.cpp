// Decisions to avoid workers.
#include "jobs/worker_avoidance.hpp"

#include <algorithm>
#include <chrono>
#include <string>

namespace hemlockdeal::jobs
{

namespace
{

constexpr duration unhealthy_backoff = std::chrono::seconds(1);
constexpr duration malformed_backoff = std::chrono::seconds(1);
// Consecutive failures or stalls of different jobs, or rejected starts of
// different jobs, after which the worker is avoided.
constexpr unsigned avoidance_threshold = 2;

} // namespace

void worker_avoidance::on_failure(fleet_worker& worker, const job_id& id,
                                  time_point now)
{
    auto& health = worker.health;
    if (health.last_failed_job == id)
    {
        return;
    }
    health.last_failed_job = id;
    ++health.failures;
    if (health.failures < avoidance_threshold ||
        !state_.options.policy.avoids_failing_workers)
    {
        return;
    }
    avoid(worker, now);
    state_.log_event(
        "avoiding worker after repeated failures",
        {{"worker", worker.entry.id.value()},
         {"failures", std::to_string(health.failures)},
         {"for_ms", std::to_string(health.avoidance.count() / 1000)}});
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
        health.avoided_until =
            std::max(health.avoided_until, now + unhealthy_backoff);
    }
}

void worker_avoidance::on_unhealthy_start(fleet_worker& worker, time_point now)
{
    worker.health.avoided_until =
        std::max(worker.health.avoided_until, now + unhealthy_backoff);
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
}

} // namespace hemlockdeal::jobs
