// Conditions on a worker for a task.
#include "jobs/worker_eligibility.hpp"

#include <algorithm>

namespace hemlockdeal::jobs
{

namespace
{

// No fill task is added to a worker on which a serving task exceeded its target
// within this time. It spans about two reports, because a new fill task runs at
// full pace until the pacer reacts.
constexpr duration over_target_pause = std::chrono::milliseconds(900);

} // namespace

bool worker_eligibility::is_available(const fleet_worker& worker,
                                      time_point now) const
{
    return !worker.health.is_rejecting(now) &&
           !worker.health.is_distrusted(now) && is_open(worker, now);
}

bool worker_eligibility::is_available(const fleet_worker& worker,
                                      search_mode mode, time_point now) const
{
    return mode == search_mode::normal ? is_available(worker, now)
                                       : is_open(worker, now);
}

bool worker_eligibility::is_open(const fleet_worker& worker,
                                 time_point now) const
{
    const bool is_in_service = !worker.is_unlisted && !worker.has_ended &&
                               !worker.entry.is_leaving && worker.is_recorded &&
                               !state_.closed_zones.contains(worker.entry.zone);
    // A later leader expects no leases beyond this.
    const auto expected_end = now + longest_lease(state_.options);
    return is_in_service && worker.knows_clock() &&
           !worker.may_hold_leases_beyond(expected_end) &&
           worker.is_reachable(now, state_.options.contact_limit) &&
           worker.full_until <= now;
}

bool worker_eligibility::accepts_step(const fleet_worker& worker, const step& s,
                                      time_point now) const
{
    const bool is_fill_paused =
        s.fills && state_.options.policy.pauses_beside_over_target &&
        now - worker.over_target_at < over_target_pause;
    return !is_fill_paused && has_room(worker, s);
}

bool worker_eligibility::keeps_trials_apart(const fleet_worker& worker,
                                            const task_record& task,
                                            bool has_waited, time_point now)
{
    if (worker.trial_count() > 0)
    {
        return false;
    }
    return !task.needs_trial() || has_waited ||
           std::ranges::none_of(worker.runs(), [&](const auto& run) {
               return now - run.second.ordered_at < start_up_time;
           });
}

bool worker_eligibility::may_start_beside_trial(const fleet_worker& worker,
                                                const task_record& task,
                                                search_mode mode,
                                                bool has_waited, time_point now)
{
    if (mode == search_mode::shared_trial ||
        (mode == search_mode::beside_trial && !task.needs_trial()))
    {
        return true;
    }
    return keeps_trials_apart(worker, task, has_waited, now);
}

bool worker_eligibility::has_room(const fleet_worker& worker,
                                  const step& s) const
{
    if (worker.has_runs_of_unknown_size())
    {
        return false;
    }
    const auto& used = worker.room_used();
    const auto& room = worker.entry.capacity;
    if (used.memory_mb + s.size.memory_mb > room.memory_mb ||
        used.accelerators + s.size.accelerators > room.accelerators)
    {
        return false;
    }
    const auto reserved = used.processor_millis + s.size.processor_millis;
    if (!s.fills)
    {
        return reserved <= room.processor_millis;
    }
    // A start must not find the worker over its capacity, even though the task
    // reserves no processors.
    if (used.processor_millis > room.processor_millis)
    {
        return false;
    }
    const auto unused =
        worker.expected_unused_processors(state_.options.serving_use);
    return static_cast<double>(worker.fill_demand() +
                               s.size.processor_millis) <=
           unused * state_.options.fill_limit;
}

bool worker_eligibility::may_run(const fleet_worker& worker,
                                 const live_job& owner, const task_key& key,
                                 time_point now) const
{
    return satisfies_constraints(worker, owner, key) &&
           has_ticket(worker, owner, key, now);
}

bool worker_eligibility::suits(const fleet_worker& worker,
                               const live_job& owner, const task_key& key,
                               time_point now) const
{
    return is_of_kind(worker, owner, key) &&
           has_ticket(worker, owner, key, now);
}

bool worker_eligibility::has_ticket(const fleet_worker& worker,
                                    const live_job& owner, const task_key& key,
                                    time_point now) const
{
    const step_key step{key.job, key.occurrence, key.step};
    return !owner.definition().policy.needs_advice ||
           state_.advice.ticket(step, worker.entry.id, now).has_value();
}

bool worker_eligibility::is_of_kind(const fleet_worker& worker,
                                    const live_job& owner, const task_key& key)
{
    const auto& s = owner.step_of(key);
    const auto& policy = owner.definition().policy;
    if (worker.entry.service != policy.service)
    {
        return false;
    }
    if (!policy.regions.empty() &&
        std::ranges::find(policy.regions, worker.entry.region) ==
            policy.regions.end())
    {
        return false;
    }
    return s.required_label.empty() || worker.entry.has_label(s.required_label);
}

bool worker_eligibility::satisfies_constraints(const fleet_worker& worker,
                                               const live_job& owner,
                                               const task_key& key) const
{
    if (!is_of_kind(worker, owner, key))
    {
        return false;
    }
    // The ledger holds one run per task: an earlier run that may still exist on
    // this worker would be overwritten.
    if (worker.runs().contains(key))
    {
        return false;
    }
    const auto& s = owner.step_of(key);
    return s.max_per_worker == 0 || worker.runs_of_step(key) < s.max_per_worker;
}

} // namespace hemlockdeal::jobs
