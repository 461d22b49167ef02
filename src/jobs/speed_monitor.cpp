// Implements the comparison of tasks with their siblings.
#include "jobs/speed_monitor.hpp"

#include <algorithm>
#include <vector>

namespace hemlockdeal::jobs
{

namespace
{

constexpr duration shortest_observation = std::chrono::milliseconds(350);
constexpr int least_percent = 3;
constexpr double sample_weight = 0.4;
constexpr double highest_ratio = 10.0;
constexpr std::size_t least_siblings = 2;
constexpr int little_progress_percent = 30;
// A part of the usual duration that a move costs.
constexpr double cost_of_move = 0.4;

// The run has used what it asked for, so that its progress shows the
// worker's speed.
bool ran_freely(const run_record& run)
{
    constexpr int full_pace = 100;
    const bool was_paced =
        run.pace < full_pace || run.changed_at > run.ordered_at;
    return !was_paced && run.measurement * 10 >= run.size.processor_millis * 7;
}

} // namespace

void speed_monitor::observe(fleet_worker& worker, time_point now)
{
    for (const auto& [key, run] : worker.runs())
    {
        auto* const owner = state_.registry.find(key.job);
        if (owner == nullptr || !owner->has(key) || run.is_long_running ||
            !run.confirmed_at || run.percent < least_percent ||
            !run.checkpoint_at_start.empty() || !ran_freely(run))
        {
            continue;
        }
        const auto elapsed = now - *run.confirmed_at;
        if (elapsed < shortest_observation)
        {
            continue;
        }
        const auto expected = elapsed * 100 / run.percent;
        owner->task(key).projected_duration = expected;
        const auto usual = usual_duration(*owner, key);
        if (usual <= duration{})
        {
            continue;
        }
        const double ratio =
            std::min(highest_ratio, std::chrono::duration<double>(expected) /
                                        std::chrono::duration<double>(usual));
        auto& health = worker.health;
        const double before = health.slowness_at(now);
        health.slowness = before + sample_weight * (ratio - before);
        health.slowness_seen_at = now;
    }
}

duration speed_monitor::usual_duration(live_job& owner,
                                       const task_key& key) const
{
    std::vector<duration> seen;
    const auto& own = owner.task(key);
    for (std::uint32_t i = 0; i < owner.step_of(key).task_count; ++i)
    {
        const auto& sibling =
            owner.task({key.job, key.occurrence, key.step, i});
        if (sibling.projected_duration > duration{} &&
            sibling.worker != own.worker)
        {
            seen.push_back(sibling.projected_duration);
        }
    }
    if (seen.size() < least_siblings)
    {
        return {};
    }
    const auto middle =
        seen.begin() + static_cast<std::ptrdiff_t>(seen.size() / 2);
    std::ranges::nth_element(seen, middle);
    return *middle;
}

bool speed_monitor::gains_by_move(live_job& owner, const task_key& key,
                                  const run_record& run) const
{
    const auto usual = usual_duration(owner, key);
    const auto here = owner.task(key).projected_duration;
    if (usual <= duration{} || here <= duration{})
    {
        return false;
    }
    const double left = (100.0 - run.percent) / 100.0;
    const double stays = left * std::chrono::duration<double>(here).count();
    const double kept = run.saves_progress ? left : 1.0;
    const double moves =
        (kept + cost_of_move) * std::chrono::duration<double>(usual).count();
    return moves < stays;
}

void speed_monitor::offload(fleet_worker& worker, time_point now)
{
    if (!worker.health.is_slow(now))
    {
        return;
    }
    std::vector<task_key> moved;
    for (const auto& [key, run] : worker.runs())
    {
        auto* const owner = state_.registry.find(key.job);
        if (owner == nullptr || !owner->has(key) || run.stop_ordered_at ||
            run.is_long_running || !run.confirmed_at)
        {
            continue;
        }
        const bool loses_little =
            run.saves_progress || run.percent < little_progress_percent;
        if (loses_little && gains_by_move(*owner, key, run))
        {
            moved.push_back(key);
        }
    }
    for (const auto& key : moved)
    {
        state_.order_stop(worker, key, now, "the worker is slow");
    }
}

} // namespace hemlockdeal::jobs
