// Contents of the stored list of workers.
#include "jobs/fleet_recorder.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include "jobs/start_binding.hpp"

namespace hemlockdeal::jobs
{

bool fleet_recorder::needs_bound(const fleet_worker& worker) const
{
    const bool can_be_bounded =
        worker.knows_clock() && state_.clock.latest_at(now_).has_value();
    return can_be_bounded && worker.is_closed() && worker.failed_polls > 0 &&
           worker.silent_since && !worker.runs().empty() &&
           now_ - *worker.silent_since >= state_.options.lease_bound_delay;
}

void fleet_recorder::mark_outdated_parts(time_point now)
{
    now_ = now;
    for (const auto& [id, worker] : state_.fleet)
    {
        const bool must_be_recorded = worker.has_been_seen() &&
                                      !worker.is_recorded &&
                                      !worker.is_being_recorded;
        if (worker.is_closed() != worker.is_closed_in_store ||
            needs_bound(worker) != worker.is_bounded_in_record ||
            (must_be_recorded && !worker.is_closed()))
        {
            state_.mark_fleet_changed(id);
        }
    }
}

void fleet_recorder::hand_over(time_point now)
{
    now_ = now;
    is_handed_over_ = true;
    for (const auto& [id, worker] : state_.fleet)
    {
        const bool has_open_starts =
            std::ranges::any_of(worker.runs(), [](const auto& run) {
                return !run.second.confirmed_at;
            });
        if (has_open_starts || (worker.is_closed() && !worker.runs().empty()))
        {
            state_.mark_fleet_changed(id);
        }
    }
    for (const auto& [id, record] : recovery_.unseen_workers())
    {
        state_.mark_fleet_changed(id);
    }
}

std::vector<fleet_part> fleet_recorder::take_changed_parts()
{
    workers_being_recorded_.clear();
    workers_without_bound_.clear();
    std::map<std::uint32_t, fleet_part> parts;
    for (const auto number : std::exchange(state_.changed_fleet_parts, {}))
    {
        parts[number].number = number;
    }
    if (parts.empty())
    {
        return {};
    }
    // The record of an earlier leader stays valid until the worker has been
    // seen.
    for (const auto& [id, record] : recovery_.unseen_workers())
    {
        if (const auto to = parts.find(fleet_part_of(id)); to != parts.end())
        {
            to->second.workers.push_back(
                is_handed_over_ ? recovery_.hand_over(record, now_)
                                : recovery_.record_to_store(record));
            note_bound(to->second.workers.back());
        }
    }
    for (auto& [id, worker] : state_.fleet)
    {
        const auto to = parts.find(fleet_part_of(id));
        if (to == parts.end())
        {
            continue;
        }
        auto record = record_of(id, worker);
        if (!recovery_.unseen_workers().contains(id))
        {
            worker.is_bounded_in_record = record.leases.has_value();
            note_bound(record);
            to->second.workers.push_back(std::move(record));
        }
    }
    std::vector<fleet_part> out;
    out.reserve(parts.size());
    for (auto& [number, part] : parts)
    {
        out.push_back(std::move(part));
    }
    return out;
}

fleet_record fleet_recorder::record_of(const worker_id& id,
                                       fleet_worker& worker)
{
    worker.is_closed_in_store = worker.is_closed();
    const auto& unseen_workers = recovery_.unseen_workers();
    const auto unseen = unseen_workers.find(id);
    const bool is_kept_closed =
        unseen != unseen_workers.end() && unseen->second.runs.has_value();
    if (is_kept_closed)
    {
        return {id, std::nullopt, worker.entry.vm};
    }
    if (!worker.is_closed_in_store)
    {
        workers_being_recorded_.push_back(id);
        worker.is_being_recorded = true;
        fleet_record open{id, std::nullopt, worker.entry.vm};
        open.unanswered_starts = unanswered_on(worker);
        return open;
    }
    // No task may be started here before the store records the worker as open
    // again.
    worker.is_recorded = false;
    std::vector<task_key> runs;
    std::ranges::transform(worker.runs(), std::back_inserter(runs),
                           [](const auto& run) { return run.first; });
    fleet_record record{id, std::move(runs), worker.entry.vm};
    record.unanswered_starts = unanswered_on(worker);
    for (const auto& run : worker.interrupted_runs)
    {
        if (run.is_suspect)
        {
            record.suspects.push_back(run.task);
        }
        if (run.is_suspect && !run.in_start_up)
        {
            record.late_suspects.push_back(run.task);
        }
    }
    if (is_handed_over_ || needs_bound(worker))
    {
        bound_leases(record, worker);
    }
    return record;
}

void fleet_recorder::bound_leases(fleet_record& record,
                                  const fleet_worker& worker) const
{
    if (!worker.knows_clock())
    {
        return;
    }
    const auto& options = state_.options;
    const auto ends_at =
        state_.clock.latest_at(worker.leases_expire_at(options.clock_error));
    if (!ends_at)
    {
        return;
    }
    record.leases = lease_bound{state_.epoch, *ends_at};
}

std::vector<unanswered_start>
fleet_recorder::unanswered_on(const fleet_worker& worker) const
{
    std::vector<unanswered_start> out;
    const auto add = [&](const task_key& key, time_point latest_start,
                         std::uint32_t run) {
        const auto until = state_.clock.latest_at(latest_start);
        if (until && now_ < latest_start)
        {
            out.push_back({key, *until, run});
        }
    };
    for (const auto& [key, order] : worker.unanswered.orders())
    {
        if (bound_until(state_, worker, key, now_))
        {
            // The order may have been repeated.
            add(key, order.latest_start, 0);
        }
    }
    if (!worker.is_closed() && !is_handed_over_)
    {
        return out;
    }
    // Responses to these orders are still awaited.
    for (const auto& [key, run] : worker.runs())
    {
        const auto latest_start =
            run.ordered_at + state_.options.max_order_delay;
        if (!run.confirmed_at && worker.unanswered.find(key) == nullptr &&
            bound_until(state_, worker, key, latest_start, now_))
        {
            add(key, latest_start, run.orders == 1 ? run.run : 0);
        }
    }
    return out;
}

void fleet_recorder::note_bound(const fleet_record& record)
{
    if (!record.leases)
    {
        workers_without_bound_.push_back(record.worker);
        return;
    }
    if (auto* const worker = state_.find_worker(record.worker))
    {
        worker->may_have_stored_bound = true;
    }
}

void fleet_recorder::on_stored()
{
    for (const auto& id : std::exchange(workers_without_bound_, {}))
    {
        if (auto* const worker = state_.find_worker(id))
        {
            worker->may_have_stored_bound = false;
        }
    }
    for (const auto& id : std::exchange(workers_being_recorded_, {}))
    {
        if (auto* const worker = state_.find_worker(id))
        {
            worker->is_recorded = true;
            worker->is_being_recorded = false;
            worker->note_gained_room();
        }
    }
}

} // namespace hemlockdeal::jobs
