// Changes of the membership list, and workers that are forgotten.
#include "jobs/membership_tracker.hpp"

#include <string>
#include <vector>

namespace hemlockdeal::jobs
{

namespace
{

// A worker that has left the list and is silent for this long counts as
// crashed.
constexpr duration min_silence_of_crash = std::chrono::seconds(15);
// A worker is known for this long after its last valid entry while its entry is
// malformed: another writer may alternate with the worker's own heartbeat.
constexpr duration malformed_entry_time = std::chrono::seconds(10);

} // namespace

void membership_tracker::set_worker(const worker_entry& entry, time_point now)
{
    const auto [found, is_new] = state_.fleet.try_emplace(
        entry.id, fleet_worker(entry, &state_.account_usage));
    auto& worker = found->second;
    worker.is_unlisted = false;
    worker.has_malformed_entry = false;
    worker.listed_at = now;
    if (is_new)
    {
        worker.joined_at = now;
        worker.set_restarts(state_.restarts);
        state_.log_event("worker joined", {{"worker", entry.id.value()},
                                           {"vm", entry.vm.value()},
                                           {"zone", entry.zone.value()}});
        state_.mark_fleet_changed(entry.id);
        return;
    }
    if (entry.incarnation > worker.entry.incarnation)
    {
        if (!worker.has_restarted)
        {
            state_.note_restart(worker, now, "list");
        }
        // Only a report shows which runs the new process has.
        worker.has_restarted = true;
        worker.next_poll = now;
    }
    const bool starts_to_leave = entry.is_leaving && !worker.entry.is_leaving;
    if (entry.capacity != worker.entry.capacity)
    {
        log_capacity_change(worker, entry.capacity);
        worker.on_capacity_changed(now);
    }
    const auto incarnation = worker.entry.incarnation;
    worker.entry = entry;
    // A stale list must not restore an earlier incarnation.
    worker.entry.incarnation = incarnation;
    worker.note_gained_room();
    if (starts_to_leave)
    {
        state_.log_event("worker is leaving", {{"worker", entry.id.value()}});
        offload_leaving_worker(worker, now);
    }
}

void membership_tracker::log_capacity_change(const fleet_worker& worker,
                                             const task_size& capacity)
{
    const auto& used = worker.room_used();
    state_.log_event(
        "capacity of worker changed",
        {{"worker", worker.entry.id.value()},
         {"processors", std::to_string(capacity.processor_millis)},
         {"memory_mb", std::to_string(capacity.memory_mb)},
         {"accelerators", std::to_string(capacity.accelerators)},
         {"processors_reserved", std::to_string(used.processor_millis)},
         {"memory_reserved", std::to_string(used.memory_mb)}});
}

void membership_tracker::offload_leaving_worker(fleet_worker& worker,
                                                time_point now)
{
    std::vector<task_key> moved;
    for (const auto& [key, run] : worker.runs())
    {
        // Tasks that cannot resume elsewhere are left to finish.
        if (run.is_long_running || run.saves_progress)
        {
            moved.push_back(key);
        }
    }
    for (const auto& key : moved)
    {
        state_.order_stop(worker, key, now, "worker is leaving");
    }
}

void membership_tracker::remove_worker(const worker_id& id, entry_loss reason)
{
    auto* const worker = state_.find_worker(id);
    if (worker == nullptr)
    {
        recovery_.on_entry_lost(id, reason == entry_loss::malformed);
        return;
    }
    worker->has_malformed_entry = reason == entry_loss::malformed;
    // A malformed entry may be rewritten each second.
    if (worker->is_unlisted)
    {
        return;
    }
    state_.log_event(reason == entry_loss::malformed
                         ? "worker is not used while its entry is malformed"
                         : "worker removed from the membership list",
                     {{"worker", id.value()}});
    worker->is_unlisted = true;
}

void membership_tracker::forget_gone_workers(time_point now)
{
    for (auto w = state_.fleet.begin(); w != state_.fleet.end();)
    {
        auto& worker = w->second;
        if (!is_gone(worker, now))
        {
            ++w;
            continue;
        }
        if (!worker.interrupted_runs.empty())
        {
            // Its VM may never run a worker again; if the worker was only cut
            // off, a run that lasts will clear its tasks.
            crashes_.on_end(worker, w->first, now);
        }
        // The worker may execute a withdrawn start although it has left the
        // list.
        for (const auto& start : worker.given_up)
        {
            state_.note_withdrawn_start(start.account, start.size,
                                        latest_end(start, state_.options));
        }
        state_.mark_fleet_changed(w->first);
        w = state_.fleet.erase(w);
    }
}

bool membership_tracker::is_gone(const fleet_worker& worker,
                                 time_point now) const
{
    const bool may_have_crashed =
        !worker.interrupted_runs.empty() && worker.silent_since &&
        now - *worker.silent_since < min_silence_of_crash;
    const bool may_be_listed_again =
        worker.has_malformed_entry &&
        now - worker.listed_at < malformed_entry_time;
    return worker.is_unlisted && worker.runs().empty() &&
           worker.unanswered.empty() && !may_have_crashed &&
           !may_be_listed_again && !worker.poll_sent_at &&
           !recovery_.unseen_workers().contains(worker.entry.id);
}

} // namespace hemlockdeal::jobs
