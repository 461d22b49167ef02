// Reasons of waiting tasks. The conditions are those of the task placer.
#include "jobs/wait_diagnosis.hpp"

#include <algorithm>

#include "jobs/quota/account_shares.hpp"
#include "jobs/quota/quota_gate.hpp"
#include "jobs/start_binding.hpp"
#include "jobs/suspect_trial.hpp"

namespace hemlockdeal::jobs
{

namespace
{

// Workers evaluated in one check for all tasks, and for one step. The figures
// bound the time that a check takes, whatever the size of the fleet.
constexpr std::size_t max_evaluations_per_check = 8000;
constexpr std::size_t max_evaluations_per_step = 2000;

std::string describe(const std::map<wait_reason, std::size_t>& workers)
{
    std::string out;
    for (const auto& [reason, count] : workers)
    {
        out += out.empty() ? "" : ", ";
        out += std::string(to_text(reason)) + ": " + std::to_string(count);
    }
    return out;
}

} // namespace

void wait_diagnosis::begin_check()
{
    findings_.clear();
    evaluations_left_ = max_evaluations_per_check;
}

wait_finding wait_diagnosis::find(const live_job& owner, const task_key& key,
                                  const wait_circumstances& circumstances)
{
    const auto& task = owner.peek(key);
    if (task.phase == task_phase::placed)
    {
        return find_for_placed(key, task, circumstances.now);
    }
    if (!circumstances.lead_is_valid)
    {
        return {wait_reason::lead_not_valid, {}, {}};
    }
    if (!circumstances.may_start)
    {
        return {wait_reason::starts_not_permitted, {}, {}};
    }
    if (!owner.is_open(key.occurrence, key.step, circumstances.unix_now))
    {
        return {wait_reason::preceding_steps, {}, {}};
    }
    if (task.may_run_elsewhere)
    {
        return {wait_reason::in_doubt_after_takeover, {}, {}};
    }
    if (const auto worker = state_.fleet.find(task.bound_to);
        worker != state_.fleet.end() &&
        bound_until(state_, worker->second, key, circumstances.now))
    {
        return {wait_reason::bound_to_worker, task.bound_to, {}};
    }
    if (task.not_before > circumstances.now)
    {
        return {wait_reason::after_rejection, {}, {}};
    }
    const auto& step = owner.step_of(key);
    if (!quota_gate(state_).admits(
            owner, step, step.is_gang ? step.task_count : 1, circumstances.now))
    {
        return {wait_reason::account_cap, {}, {}};
    }
    auto found = evaluate_workers(owner, key, task, circumstances.now);
    if (found.reason == wait_reason::no_room && is_over_share(owner))
    {
        found.reason = wait_reason::account_share;
    }
    if (found.reason != wait_reason::worker_found)
    {
        return found;
    }
    const bool is_stored = task.may_be_ordered(state_.stored_set) &&
                           task.is_crash_stored(state_.stored_set);
    if (task.is_announced && !is_stored)
    {
        found.reason = wait_reason::not_stored;
    }
    else if (owner.step_of(key).is_gang)
    {
        found.reason = wait_reason::gang_incomplete;
    }
    return found;
}

bool wait_diagnosis::is_over_share(const live_job& owner) const
{
    if (!state_.limits.has_accounts())
    {
        return false;
    }
    account_shares shares(state_);
    shares.add(owner.definition().account);
    return shares.is_over_share(owner.definition().account);
}

wait_finding wait_diagnosis::find_for_placed(const task_key& key,
                                             const task_record& task,
                                             time_point now) const
{
    const auto worker = state_.fleet.find(task.worker);
    if (worker == state_.fleet.end())
    {
        return {wait_reason::leases_not_expired, task.worker, {}};
    }
    const auto run = worker->second.runs().find(key);
    if (run != worker->second.runs().end() && run->second.confirmed_at)
    {
        return {wait_reason::leases_not_expired, task.worker, {}};
    }
    const bool responds =
        worker->second.is_reachable(now, state_.options.contact_limit);
    return {responds ? wait_reason::start_not_confirmed
                     : wait_reason::start_unanswered,
            task.worker,
            {}};
}

const wait_finding& wait_diagnosis::evaluate_workers(const live_job& owner,
                                                     const task_key& key,
                                                     const task_record& task,
                                                     time_point now)
{
    const task_key step{key.job, key.occurrence, key.step, 0};
    const auto [entry, is_new] =
        findings_.try_emplace({step, task.needs_trial()});
    auto& finding = entry->second;
    if (!is_new || evaluations_left_ == 0)
    {
        return finding;
    }
    finding.reason = wait_reason::no_suitable_worker;
    const auto& fleet = state_.fleet;
    const auto count =
        std::min({fleet.size(), max_evaluations_per_step, evaluations_left_});
    evaluations_left_ -= count;
    std::map<wait_reason, std::size_t> workers;
    auto worker = fleet.lower_bound(next_worker_);
    for (std::size_t i = 0; i < count; ++i)
    {
        worker = worker == fleet.end() ? fleet.begin() : worker;
        const auto obstacle =
            obstacle_on(worker->second, owner, key, task, now);
        ++workers[obstacle];
        finding.reason = std::max(finding.reason, obstacle);
        ++worker;
    }
    if (count < fleet.size() &&
        finding.reason == wait_reason::no_suitable_worker)
    {
        // Another worker may satisfy the constraints.
        finding.reason = wait_reason::not_examined;
    }
    next_worker_ = worker == fleet.end() ? worker_id() : worker->first;
    finding.obstacles = describe(workers);
    return finding;
}

wait_reason wait_diagnosis::obstacle_on(const fleet_worker& worker,
                                        const live_job& owner,
                                        const task_key& key,
                                        const task_record& task,
                                        time_point now) const
{
    if (!eligibility_.satisfies_constraints(worker, owner, key))
    {
        return wait_reason::no_suitable_worker;
    }
    if (!eligibility_.accepts_step(worker, owner.step_of(key), now))
    {
        return wait_reason::no_room;
    }
    const auto obstacle = obstacle_to_all(worker, now);
    if (obstacle != wait_reason::worker_found)
    {
        return obstacle;
    }
    const bool has_waited = now - task.suspected_at >= max_wait_for_trial;
    if (!worker_eligibility::keeps_trials_apart(worker, task, has_waited, now))
    {
        return wait_reason::waits_for_trial;
    }
    return eligibility_.may_run(worker, owner, key, now)
               ? wait_reason::worker_found
               : wait_reason::no_ticket;
}

wait_reason wait_diagnosis::obstacle_to_all(const fleet_worker& worker,
                                            time_point now) const
{
    if (worker.is_unlisted || worker.has_ended || worker.entry.is_leaving)
    {
        return wait_reason::worker_leaves;
    }
    if (state_.closed_zones.contains(worker.entry.zone))
    {
        return wait_reason::zone_closed;
    }
    if (!worker.knows_clock() ||
        !worker.is_reachable(now, state_.options.contact_limit))
    {
        return wait_reason::worker_silent;
    }
    if (!worker.is_recorded)
    {
        return wait_reason::worker_not_recorded;
    }
    if (worker.full_until > now)
    {
        return wait_reason::room_refused;
    }
    if (worker.health.is_slow(now))
    {
        return wait_reason::worker_slow;
    }
    if (worker.health.avoided_until > now || worker.health.is_rejecting(now))
    {
        return wait_reason::worker_avoided;
    }
    return worker.trial_count() > 0 ? wait_reason::beside_trial
                                    : wait_reason::worker_found;
}

} // namespace hemlockdeal::jobs
