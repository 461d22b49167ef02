// Conditions and contents of repeated start orders.
#include "jobs/start_repeater.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "jobs/current_run.hpp"

namespace hemlockdeal::jobs
{

void start_repeater::on_unanswered(fleet_worker& worker, const task_key& key,
                                   run_record& run, time_point now)
{
    run.is_unresolved = true;
    note_unanswered(worker, key, run);
    worker.next_poll = std::min(worker.next_poll, now);
    // Further orders follow a report that does not list the run.
    if (run.orders == 1 && may_repeat(worker, key, run, now))
    {
        state_.starts_to_repeat.insert({worker.entry.id, key});
    }
}

void start_repeater::note_unanswered(fleet_worker& worker, const task_key& key,
                                     const run_record& run)
{
    worker.unanswered.add(key, run.run,
                          run.ordered_at + state_.options.max_order_delay);
    if (auto* const owner = state_.registry.find(key.job);
        owner != nullptr && owner->has(key))
    {
        owner->task(key).bound_to = worker.entry.id;
    }
    state_.mark_fleet_changed(worker.entry.id);
}

bool start_repeater::may_repeat(const fleet_worker& worker, const task_key& key,
                                const run_record& run, time_point now) const
{
    const auto* const owner = std::as_const(state_).registry.find(key.job);
    return owner != nullptr && is_current_run(state_, worker, key, run.run) &&
           worker.unanswered.may_order_again(key) && !run.stop_ordered_at &&
           !worker.is_unlisted && !worker.has_ended &&
           !worker.entry.is_leaving &&
           !state_.closed_zones.contains(worker.entry.zone) &&
           eligibility_.suits(worker, *owner, key, now) &&
           has_room(worker, *owner, key, now);
}

void start_repeater::repeat_due(time_point now)
{
    for (const auto& [id, key] : std::exchange(state_.starts_to_repeat, {}))
    {
        auto* const worker = state_.find_worker(id);
        auto* const run = worker == nullptr ? nullptr : worker->find_run(key);
        if (run != nullptr && run->is_unresolved &&
            may_repeat(*worker, key, *run, now) &&
            eligibility_.is_open(*worker, now))
        {
            repeat(*worker, key, *run, now);
        }
    }
}

bool start_repeater::has_room(const fleet_worker& worker, const live_job& owner,
                              const task_key& key, time_point now) const
{
    const auto& used = worker.room_used();
    const auto& room = worker.entry.capacity;
    // The run is in the ledgers of its worker and of its account. Capacities
    // and caps may have shrunk since.
    return used.processor_millis <= room.processor_millis &&
           used.memory_mb <= room.memory_mb &&
           used.accelerators <= room.accelerators &&
           quota_.admits_counted(owner, owner.step_of(key), now);
}

void start_repeater::repeat(fleet_worker& worker, const task_key& key,
                            run_record& run, time_point now)
{
    const auto& owner = *state_.registry.find(key.job);
    ++run.orders;
    run.is_unresolved = false;
    state_.log_event("start repeated", {{"task", to_text(key)},
                                        {"run", std::to_string(run.run)},
                                        {"worker", worker.entry.id.value()},
                                        {"order", std::to_string(run.orders)}});
    state_.order_start(owner, key, worker, run, now);
}

} // namespace hemlockdeal::jobs
