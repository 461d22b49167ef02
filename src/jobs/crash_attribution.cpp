// Attribution of worker crashes to tasks.
#include "jobs/crash_attribution.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "jobs/suspect_trial.hpp"

namespace hemlockdeal::jobs
{

namespace
{

// Crashes during its start-up after which a task is given up if it was the only
// suspect of the last one.
constexpr std::uint32_t max_start_up_crashes = 2;
// The same if the last one may have another cause: its VM had crashed before,
// many workers failed together, or workers without suspects crashed lately.
constexpr std::uint32_t max_unreliable_start_up_crashes = 3;
// Crashes of any kind after which a suspect is given up; one more if the last
// one may have another cause and fewer came during the start-up. A leader that
// is lost just after a start takes the evidence of the crash along, and the
// sixth start of a task that crashes its workers is one too many.
constexpr std::size_t max_crashes = 4;
// A VM counts as unreliable for this long after a crash of its worker, and all
// of them after a crash without suspects.
constexpr duration unreliable_time = std::chrono::seconds(60);

} // namespace

void crash_attribution::on_silence(fleet_worker& worker, time_point now)
{
    // A poll that fails while it waits for a run to end shows that the
    // connection was lost just now.
    const bool is_connection_lost =
        worker.poll_sent_at && now - *worker.poll_sent_at < worker.poll_wait;
    worker.silent_since = now;
    note_runs(worker, is_connection_lost ? now : worker.responded_at, now);
    std::set<job_id> suspects;
    for (const auto& run : worker.interrupted_runs)
    {
        if (run.is_suspect)
        {
            suspects.insert(run.task.job);
        }
    }
    silences_.add(worker, std::move(suspects), now);
}

void crash_attribution::on_requeue(const fleet_worker& worker,
                                   time_point now) const
{
    const bool is_mass_failure = silences_.is_part_of_mass_failure(worker);
    for (const auto& run : worker.interrupted_runs)
    {
        auto* const task = find_task(run.task);
        if (task == nullptr)
        {
            continue;
        }
        task->suspected_at = now;
        if (is_mass_failure &&
            !silences_.is_common_suspect(worker, run.task.job))
        {
            task->suspected_on.erase(worker.entry.id);
        }
    }
}

void crash_attribution::on_unnoticed_end(fleet_worker& worker, time_point now)
{
    if (!worker.silent_since)
    {
        note_runs(worker, worker.responded_at, now);
    }
}

void crash_attribution::on_restart(fleet_worker& worker,
                                   const worker_report& first_report,
                                   time_point now)
{
    on_unnoticed_end(worker, now);
    auto& runs = worker.interrupted_runs;
    const auto later = std::partition(
        runs.begin(), runs.end(), [&](const interrupted_run& run) {
            return !first_report.lists(run.task, run.run);
        });
    clear_suspicion(worker.entry.id, {later, runs.end()});
    runs.erase(later, runs.end());
}

void crash_attribution::note_runs(fleet_worker& worker, time_point alive_at,
                                  time_point now)
{
    worker.interrupted_runs.clear();
    const auto in_start_up_at = [&](const run_record& run) {
        return alive_at - run.ordered_at < start_up_time;
    };
    // A suspect that has outlived its trial counts only if no run is more
    // likely to have crashed the worker.
    const bool has_likely_suspect =
        std::ranges::any_of(worker.runs(), [&](const auto& entry) {
            return in_start_up_at(entry.second) || entry.second.is_trial;
        });
    for (const auto& [key, run] : worker.runs())
    {
        const bool in_start_up = in_start_up_at(run);
        const bool is_suspect = in_start_up || run.is_trial ||
                                (run.is_suspect && !has_likely_suspect);
        // A run that seems too short would let the next one of the same length
        // clear the task.
        const auto ran_for =
            run.has_unknown_age ? crash_history::max_run : now - run.ordered_at;
        worker.interrupted_runs.push_back(
            {key, ran_for, in_start_up, is_suspect,
             run.confirmed_at.has_value(), run.run});
        if (auto* const task = is_suspect ? find_task(key) : nullptr)
        {
            task->suspected_on.insert(worker.entry.id);
        }
    }
}

void crash_attribution::on_response(fleet_worker& worker)
{
    if (!worker.silent_since)
    {
        return;
    }
    worker.silent_since.reset();
    silences_.forget(worker.entry.id);
    clear_suspicion(worker.entry.id,
                    std::exchange(worker.interrupted_runs, {}));
}

void crash_attribution::clear_suspicion(
    const worker_id& worker, const std::vector<interrupted_run>& runs) const
{
    for (const auto& run : runs)
    {
        if (auto* const task = find_task(run.task))
        {
            task->suspected_on.erase(worker);
        }
    }
}

void crash_attribution::on_end(fleet_worker& worker, const worker_id& life,
                               time_point now)
{
    const auto runs = std::exchange(worker.interrupted_runs, {});
    clear_suspicion(worker.entry.id, runs);
    if (worker.entry.is_leaving)
    {
        return;
    }
    ++crashes_;
    const bool is_mass_failure = silences_.is_part_of_mass_failure(worker);
    const auto suspects =
        std::ranges::count_if(runs, &interrupted_run::is_suspect);
    const auto is_recent = [&](const std::optional<time_point>& at) {
        return at && now - *at <= unreliable_time;
    };
    const bool is_reliable = !is_mass_failure &&
                             !is_recent(worker.vm_crashed_at) &&
                             !is_recent(unexplained_crash_at_);
    if (suspects == 0)
    {
        unexplained_crash_at_ = now;
    }
    state_.log_event(
        "worker has crashed",
        {{"worker", life.value()},
         {"vm", worker.entry.vm.value()},
         {"runs", std::to_string(runs.size())},
         {"suspects", std::to_string(suspects)},
         {"mass_failure", std::to_string(static_cast<int>(is_mass_failure))}});
    for (const auto& run : runs)
    {
        if (is_mass_failure && !run.is_suspect)
        {
            continue;
        }
        // Several such tasks may crash their workers at the same time, so that
        // a mass failure is weak evidence instead of none.
        // So is the crash of a worker that never confirmed the run.
        const bool is_explained_otherwise =
            !run.is_confirmed ||
            (is_mass_failure &&
             !silences_.is_common_suspect(worker, run.task.job));
        count_crash(life, run,
                    {suspects == 1, is_reliable, is_explained_otherwise}, now);
    }
}

void crash_attribution::recover(fleet_record& record)
{
    if (!recovered_trials_)
    {
        recovered_trials_.emplace();
        for (const auto& [id, owner] : state_.registry.live())
        {
            owner->collect_trials(*recovered_trials_);
        }
    }
    if (const auto tried = recovered_trials_->find(record.worker);
        tried != recovered_trials_->end())
    {
        record.suspects.insert(record.suspects.end(), tried->second.begin(),
                               tried->second.end());
        std::ranges::sort(record.suspects);
        record.suspects.erase(
            std::unique(record.suspects.begin(), record.suspects.end()),
            record.suspects.end());
    }
    for (const auto& key : record.suspects)
    {
        if (auto* const task = find_task(key))
        {
            task->suspected_on.insert(record.worker);
        }
    }
}

void crash_attribution::on_recorded_end(const fleet_record& record,
                                        time_point now)
{
    if (record.runs && record.suspects.empty())
    {
        unexplained_crash_at_ = now;
    }
    for (const auto& key : record.suspects)
    {
        const bool is_late = std::ranges::find(record.late_suspects, key) !=
                             record.late_suspects.end();
        // How long a late suspect had been running is not recorded.
        const auto ran_for = is_late ? crash_history::max_run : duration{};
        // Whether the crash was part of a mass failure is not recorded.
        count_crash(record.worker, {key, ran_for, !is_late, true},
                    {record.suspects.size() == 1, false, false}, now);
    }
}

void crash_attribution::count_crash(const worker_id& life,
                                    const interrupted_run& run,
                                    const crash_circumstances& circumstances,
                                    time_point now)
{
    auto* const task = find_task(run.task);
    if (task == nullptr || task->phase == task_phase::done ||
        !task->crashes.add(life, run.in_start_up, run.ran_for,
                           circumstances.is_explained_otherwise))
    {
        return;
    }
    task->has_unstored_crash = true;
    task->suspected_at = now;
    state_.registry.mark_changed(run.task.job);
    if (!run.is_suspect)
    {
        return;
    }
    state_.log_event(
        "task may have crashed its worker",
        {{"task", to_text(run.task)},
         {"worker", life.value()},
         {"ran_ms", std::to_string(run.ran_for.count() / 1000)},
         {"crashes", std::to_string(task->crashes.workers.size())},
         {"in_start_up", std::to_string(task->crashes.in_start_up)},
         {"possibly_in_start_up",
          std::to_string(task->crashes.possibly_in_start_up)},
         {"only_suspect",
          std::to_string(static_cast<int>(circumstances.is_only_suspect))},
         {"reliable",
          std::to_string(static_cast<int>(circumstances.is_reliable))}});
    if (is_convicted(task->crashes, circumstances))
    {
        state_.fail_job(*state_.registry.find(run.task.job), run.task, now);
    }
}

bool crash_attribution::is_convicted(const crash_history& crashes,
                                     const crash_circumstances& circumstances)
{
    const auto limit = circumstances.is_reliable
                           ? max_start_up_crashes
                           : max_unreliable_start_up_crashes;
    if (circumstances.is_only_suspect && crashes.in_start_up >= limit)
    {
        return true;
    }
    return crashes.possibly_in_start_up >= max_crashes ||
           crashes.workers.size() >=
               max_crashes + (circumstances.is_reliable ? 0 : 1);
}

void crash_attribution::on_run_reported(fleet_worker& worker,
                                        const task_key& key, run_record& run,
                                        time_point now)
{
    if (run.is_trial && now - run.ordered_at >= max_trial_time)
    {
        worker.end_trial(run);
    }
    if (!run.clearance_time || now - run.ordered_at < *run.clearance_time)
    {
        return;
    }
    run.clearance_time.reset();
    run.is_suspect = false;
    worker.end_trial(run);
    forget_evidence(key);
}

void crash_attribution::forget_evidence(const task_key& key)
{
    auto* const task = find_task(key);
    if (task == nullptr)
    {
        return;
    }
    task->suspected_on.clear();
    if (!task->crashes.empty())
    {
        task->crashes = {};
        state_.registry.mark_changed(key.job);
    }
}

task_record* crash_attribution::find_task(const task_key& key) const
{
    auto* const owner = state_.registry.find(key.job);
    return owner != nullptr && owner->has(key) ? &owner->task(key) : nullptr;
}

} // namespace hemlockdeal::jobs
