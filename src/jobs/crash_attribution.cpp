// Attribution of worker crashes to tasks.
#include "jobs/crash_attribution.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace hemlockdeal::jobs
{

namespace
{

// Crashes of workers after which the only suspect of the last one is given up.
constexpr std::size_t max_crashes = 2;
// The same if the VM of the last one had crashed before, so that the VM may be
// to blame.
constexpr std::size_t max_crashes_on_unreliable_vm = 3;
// The same for a suspect that was never the only one.
constexpr std::size_t max_crashes_beside_others = 4;
// A VM counts as unreliable for this long after a crash of its worker.
constexpr duration unreliable_time = std::chrono::seconds(60);

// Workers that fall silent within this time of each other may have a common
// cause; an unanswered poll ends up to 1.9 s after the failure.
constexpr duration common_cause_time = std::chrono::seconds(1);
constexpr duration silence_history = std::chrono::seconds(60);
constexpr std::size_t min_mass_failure = 6;
constexpr std::size_t mass_failure_divisor = 10;
constexpr std::size_t min_domain_failure = 3;

} // namespace

void crash_attribution::on_silence(fleet_worker& worker, time_point now)
{
    // A poll that fails while it waits for a run to end shows that the
    // connection was lost just now.
    const bool is_connection_lost =
        worker.poll_sent_at && now - *worker.poll_sent_at < worker.poll_wait;
    worker.silent_since = now;
    std::erase_if(silences_, [&](const silence& entry) {
        return now - entry.since > silence_history;
    });
    silences_.push_back(
        {worker.entry.id, worker.entry.zone, worker.entry.labels, now});
    note_runs(worker, is_connection_lost ? now : worker.responded_at, now);
}

void crash_attribution::on_unnoticed_restart(fleet_worker& worker,
                                             time_point now)
{
    if (!worker.silent_since)
    {
        note_runs(worker, worker.responded_at, now);
    }
}

void crash_attribution::note_runs(fleet_worker& worker, time_point alive_at,
                                  time_point now)
{
    worker.interrupted_runs.clear();
    for (const auto& [key, run] : worker.runs())
    {
        const bool may_be_starting = alive_at - run.ordered_at < start_up_time;
        const bool is_suspect = may_be_starting || run.is_trial;
        worker.interrupted_runs.push_back(
            {key, now - run.ordered_at, is_suspect});
        if (auto* const task = is_suspect ? find_task(key) : nullptr)
        {
            task->is_suspected = true;
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
    std::erase_if(silences_, [&](const silence& entry) {
        return entry.worker == worker.entry.id;
    });
    clear_suspicion(std::exchange(worker.interrupted_runs, {}));
}

void crash_attribution::clear_suspicion(
    const std::vector<interrupted_run>& runs) const
{
    for (const auto& run : runs)
    {
        if (auto* const task = find_task(run.task))
        {
            task->is_suspected = false;
        }
    }
}

void crash_attribution::on_end(fleet_worker& worker, const worker_id& life,
                               time_point now)
{
    const auto runs = std::exchange(worker.interrupted_runs, {});
    const bool is_reliable =
        !worker.vm_crashed_at || now - *worker.vm_crashed_at > unreliable_time;
    clear_suspicion(runs);
    if (worker.entry.is_leaving)
    {
        return;
    }
    ++crashes_;
    const bool is_mass_failure = is_part_of_mass_failure(worker);
    const auto suspects =
        std::ranges::count_if(runs, &interrupted_run::is_suspect);
    state_.log_event(
        "worker has crashed",
        {{"worker", life.value()},
         {"vm", worker.entry.vm.value()},
         {"runs", std::to_string(runs.size())},
         {"suspects", std::to_string(suspects)},
         {"mass_failure", std::to_string(static_cast<int>(is_mass_failure))}});
    if (is_mass_failure)
    {
        return;
    }
    for (const auto& run : runs)
    {
        count_crash(life, run, suspects == 1, is_reliable, now);
    }
}

void crash_attribution::recover(const fleet_record& record)
{
    for (const auto& key : record.suspects)
    {
        if (auto* const task = find_task(key))
        {
            task->is_suspected = true;
        }
    }
}

void crash_attribution::on_recorded_end(const fleet_record& record,
                                        time_point now)
{
    for (const auto& key : record.suspects)
    {
        // Whether the crash was part of a mass failure is not recorded.
        count_crash(record.worker, {key, {}, true}, record.suspects.size() == 1,
                    false, now);
    }
}

void crash_attribution::count_crash(const worker_id& life,
                                    const interrupted_run& run,
                                    bool is_only_suspect, bool is_reliable,
                                    time_point now)
{
    auto* const task = find_task(run.task);
    if (task == nullptr || task->phase == task_phase::done ||
        !task->crashes.add(life, run.is_suspect, run.ran_for))
    {
        return;
    }
    task->has_unstored_crash = true;
    state_.registry.mark_changed(run.task.job);
    if (!run.is_suspect)
    {
        return;
    }
    const auto crashes = task->crashes.workers.size();
    state_.log_event(
        "task may have crashed its worker",
        {{"task", to_text(run.task)},
         {"worker", life.value()},
         {"ran_ms", std::to_string(run.ran_for.count() / 1000)},
         {"crashes", std::to_string(crashes)},
         {"only_suspect", std::to_string(static_cast<int>(is_only_suspect))}});
    const auto limit = !is_only_suspect ? max_crashes_beside_others
                       : is_reliable    ? max_crashes
                                        : max_crashes_on_unreliable_vm;
    if (crashes >= limit)
    {
        state_.fail_job(*state_.registry.find(run.task.job), run.task, now);
    }
}

void crash_attribution::on_run_reported(fleet_worker& worker,
                                        const task_key& key, run_record& run,
                                        time_point now)
{
    if (!run.clearance_time || now - run.ordered_at < *run.clearance_time)
    {
        return;
    }
    run.clearance_time.reset();
    worker.end_trial(run);
    forget_evidence(key);
}

void crash_attribution::on_run_failed(const task_key& key)
{
    forget_evidence(key);
}

void crash_attribution::forget_evidence(const task_key& key)
{
    auto* const task = find_task(key);
    if (task == nullptr)
    {
        return;
    }
    task->is_suspected = false;
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

template <typename IsInDomain>
bool crash_attribution::fails_with_most_of(const fleet_worker& worker,
                                           IsInDomain is_in_domain) const
{
    const auto silent =
        std::ranges::count_if(silences_, [&](const silence& other) {
            return std::chrono::abs(other.since - *worker.silent_since) <=
                       common_cause_time &&
                   is_in_domain(other.zone, other.labels);
        });
    const auto members =
        std::ranges::count_if(state_.fleet, [&](const auto& other) {
            const auto& entry = other.second.entry;
            return !other.second.has_ended && !other.second.is_unlisted &&
                   is_in_domain(entry.zone, entry.labels);
        });
    return silent >= static_cast<std::ptrdiff_t>(min_domain_failure) &&
           2 * silent >= members;
}

bool crash_attribution::is_part_of_mass_failure(
    const fleet_worker& worker) const
{
    if (!worker.silent_since)
    {
        return false;
    }
    const auto simultaneous = static_cast<std::size_t>(
        std::ranges::count_if(silences_, [&](const silence& other) {
            return std::chrono::abs(other.since - *worker.silent_since) <=
                   common_cause_time;
        }));
    if (simultaneous >=
        std::max(min_mass_failure, state_.fleet.size() / mass_failure_divisor))
    {
        return true;
    }
    const bool is_with_zone = fails_with_most_of(
        worker, [&](const availability_zone_id& zone, const auto& /*labels*/) {
            return zone == worker.entry.zone;
        });
    return is_with_zone ||
           std::ranges::any_of(
               worker.entry.labels, [&](const std::string& label) {
                   return fails_with_most_of(worker, [&](const auto& /*zone*/,
                                                         const auto& labels) {
                       return std::ranges::find(labels, label) != labels.end();
                   });
               });
}

} // namespace hemlockdeal::jobs
