// Start orders, each preceded by an announcement of its task in the store.
#include "jobs/task_starter.hpp"

#include <algorithm>

namespace hemlockdeal::jobs
{

bool task_starter::prepare(live_job& owner, const task_key& key,
                           const found_place& place, time_point now)
{
    auto& task = owner.task(key);
    const auto tried_on =
        task.needs_trial() ? place.worker->entry.id : worker_id();
    if (task.crashes.tried_on != tried_on)
    {
        task.crashes.tried_on = tried_on;
        task.has_unstored_crash = true;
        state_.registry.mark_changed(key.job);
    }
    if (task.may_be_ordered(state_.stored_set) &&
        task.is_crash_stored(state_.stored_set))
    {
        return true;
    }
    if (!task.is_announced)
    {
        owner.announce(key);
        state_.registry.mark_changed(key.job);
    }
    if (state_.options.policy.keeps_reservations)
    {
        reservations_.reserve(owner, key, place, now);
    }
    return false;
}

void task_starter::order(live_job& owner, const task_key& key,
                         fleet_worker& worker, std::uint32_t run,
                         time_point now)
{
    auto record = make_run(owner.definition(), owner.step_of(key), run, now);
    set_evidence(record, owner.task(key));
    record.checkpoint = owner.task(key).checkpoint;
    record.checkpoint_at_start = record.checkpoint;
    auto& ordered = worker.add_run(key, record);
    worker.next_poll =
        std::min(worker.next_poll, now + state_.options.min_poll_interval);
    const bool is_first = owner.state() == job_state::queued;
    owner.set_placed(key, worker.entry.id, run);
    if (is_first && owner.step_of(key).is_long_running)
    {
        // Other VMs show the stored state, and no end of a run may ever change
        // it.
        state_.registry.mark_changed(key.job);
    }
    log_start(owner, key, worker, ordered);
    state_.order_start(owner, key, worker, ordered, now);
}

void task_starter::log_start(const live_job& owner, const task_key& key,
                             const fleet_worker& worker,
                             const run_record& record)
{
    state_.log_event("task placed",
                     {{"task", to_text(key)},
                      {"run", std::to_string(record.run)},
                      {"worker", worker.entry.id.value()},
                      {"image", owner.step_of(key).image},
                      {"trial", std::to_string(int{record.is_trial})},
                      {"serving", std::to_string(worker.serving_count())},
                      {"processors_reserved",
                       std::to_string(worker.room_used().processor_millis)},
                      {"fill_demand", std::to_string(worker.fill_demand())}});
}

} // namespace hemlockdeal::jobs
