// Moves of slowed fill tasks.
#include "jobs/slowed_task_mover.hpp"

#include <chrono>

namespace hemlockdeal::jobs
{

namespace
{

// Below this cost a fill task is expected to run at full pace.
constexpr double full_pace_cost = 0.8;
constexpr std::size_t max_moves_per_pass = 4;
constexpr duration move_interval = std::chrono::milliseconds(100);
constexpr int low_progress_percent = 15;

bool loses_little_progress(const run_record& run)
{
    return run.saves_progress || run.percent <= low_progress_percent;
}

} // namespace

void slowed_task_mover::move(time_point now)
{
    if (!state_.options.policy.moves_suspended_fills ||
        now - checked_at_ < move_interval)
    {
        return;
    }
    checked_at_ = now;
    for (const auto& [worker, key] : find_runs_to_move(now))
    {
        state_.order_stop(
            *worker, key, now,
            "slowed while another worker can run it at full pace");
    }
}

std::vector<slowed_task_mover::slowed_run>
slowed_task_mover::find_runs_to_move(time_point now)
{
    std::vector<slowed_run> found;
    for (auto& [id, worker] : state_.fleet)
    {
        if (worker.fill_count() == 0 || worker.serving_count() == 0)
        {
            continue;
        }
        for (const auto& [key, run] : worker.runs())
        {
            if (found.size() >= max_moves_per_pass)
            {
                return found;
            }
            if (should_move(worker, key, run, now))
            {
                found.push_back({&worker, key});
            }
        }
    }
    return found;
}

bool slowed_task_mover::should_move(const fleet_worker& worker,
                                    const task_key& key, const run_record& run,
                                    time_point now)
{
    const bool is_slowed =
        run.fills && run.slowed_since &&
        now - *run.slowed_since > state_.options.slowed_limit;
    // A task with a start in doubt may not run elsewhere.
    if (worker.unanswered.may_start(key, now))
    {
        return false;
    }
    if (!is_slowed || !loses_little_progress(run) || run.stop_ordered_at)
    {
        return false;
    }
    const auto* const owner = state_.registry.find(key.job);
    if (owner == nullptr)
    {
        return false;
    }
    const auto* const better =
        search_.find(candidates_.usable(), *owner, key, now);
    return better != nullptr && better != &worker &&
           cost_.fill_cost(*better, owner->step_of(key), run.image, now) <
               full_pace_cost;
}

} // namespace hemlockdeal::jobs
