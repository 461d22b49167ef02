// Comparison of tasks with the other tasks of their step.
#include "jobs/speed_monitor.hpp"

#include <algorithm>
#include <vector>

namespace hemlockdeal::jobs
{

namespace
{

constexpr duration min_observation_time = std::chrono::milliseconds(350);
constexpr int min_percent = 3;
constexpr double sample_weight = 0.4;
constexpr double max_ratio = 10.0;
constexpr std::size_t min_siblings = 2;
constexpr int low_progress_percent = 30;
// Cost of a move as a fraction of the median duration.
constexpr double move_cost = 0.4;

// True if the run used most of the processors that it requested and was never
// paced, so that its progress shows the worker's speed.
bool ran_unthrottled(const run_record& run)
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
            !run.confirmed_at || run.percent < min_percent ||
            !run.checkpoint_at_start.empty() || !ran_unthrottled(run))
        {
            continue;
        }
        const auto elapsed = now - *run.confirmed_at;
        if (elapsed < min_observation_time)
        {
            continue;
        }
        const auto projected = elapsed * 100 / run.percent;
        owner->task(key).projected_duration = projected;
        const auto median = median_sibling_duration(*owner, key);
        if (median <= duration{})
        {
            continue;
        }
        const double ratio =
            std::min(max_ratio, std::chrono::duration<double>(projected) /
                                    std::chrono::duration<double>(median));
        auto& health = worker.health;
        const double before = health.slowness_at(now);
        health.slowness = before + sample_weight * (ratio - before);
        health.slowness_seen_at = now;
    }
}

duration speed_monitor::median_sibling_duration(live_job& owner,
                                                const task_key& key) const
{
    std::vector<duration> durations;
    const auto own_worker = owner.peek(key).worker;
    const auto& step = owner.step_state(key.occurrence, key.step);
    for (const auto& [index, sibling] : step.tasks)
    {
        if (sibling.projected_duration > duration{} &&
            sibling.worker != own_worker)
        {
            durations.push_back(sibling.projected_duration);
        }
    }
    for (const auto& done : step.durations)
    {
        if (done.worker != own_worker)
        {
            durations.push_back(done.projected);
        }
    }
    if (durations.size() < min_siblings)
    {
        return {};
    }
    const auto middle =
        durations.begin() + static_cast<std::ptrdiff_t>(durations.size() / 2);
    std::ranges::nth_element(durations, middle);
    return *middle;
}

bool speed_monitor::is_faster_elsewhere(live_job& owner, const task_key& key,
                                        const run_record& run) const
{
    const auto median = median_sibling_duration(owner, key);
    const auto own_duration = owner.peek(key).projected_duration;
    if (median <= duration{} || own_duration <= duration{})
    {
        return false;
    }
    const double remaining = (100.0 - run.percent) / 100.0;
    const double time_here =
        remaining * std::chrono::duration<double>(own_duration).count();
    const double remaining_work = run.saves_progress ? remaining : 1.0;
    const double time_elsewhere = (remaining_work + move_cost) *
                                  std::chrono::duration<double>(median).count();
    return time_elsewhere < time_here;
}

bool speed_monitor::has_faster_worker(const live_job& owner,
                                      const task_key& key, time_point now) const
{
    return std::ranges::any_of(state_.fleet, [&](const auto& entry) {
        const auto& worker = entry.second;
        return eligibility_.is_available(worker, now) &&
               worker.trial_count() == 0 &&
               eligibility_.has_room(worker, owner.step_of(key)) &&
               eligibility_.may_run(worker, owner, key, now);
    });
}

void speed_monitor::offload(fleet_worker& worker, time_point now)
{
    if (!worker.health.is_slow(now))
    {
        return;
    }
    std::vector<task_key> slow_tasks;
    for (const auto& [key, run] : worker.runs())
    {
        auto* const owner = state_.registry.find(key.job);
        // Each start of a suspect may crash a worker.
        if (owner == nullptr || !owner->has(key) || run.stop_ordered_at ||
            worker.unanswered.may_start(key, now) || run.is_long_running ||
            run.is_suspect || !run.confirmed_at)
        {
            continue;
        }
        const bool loses_little_progress =
            run.saves_progress || run.percent < low_progress_percent;
        if (loses_little_progress && is_faster_elsewhere(*owner, key, run) &&
            has_faster_worker(*owner, key, now))
        {
            slow_tasks.push_back(key);
        }
    }
    for (const auto& key : slow_tasks)
    {
        state_.order_stop(worker, key, now, "worker is slower than others");
    }
}

} // namespace hemlockdeal::jobs
