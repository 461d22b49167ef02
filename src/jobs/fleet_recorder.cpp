// Contents of the stored list of workers.
#include "jobs/fleet_recorder.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace hemlockdeal::jobs
{

void fleet_recorder::mark_outdated_parts()
{
    for (const auto& [id, worker] : state_.fleet)
    {
        const bool must_be_recorded = worker.has_been_seen() &&
                                      !worker.is_recorded &&
                                      !worker.is_being_recorded;
        if (worker.is_closed() != worker.is_closed_in_store ||
            (must_be_recorded && !worker.is_closed()))
        {
            state_.mark_fleet_changed(id);
        }
    }
}

void fleet_recorder::hand_over(time_point now)
{
    handed_over_at_ = now;
    for (const auto& [id, worker] : state_.fleet)
    {
        if (worker.is_closed() && !worker.runs().empty())
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
                handed_over_at_ ? recovery_.hand_over(record, *handed_over_at_)
                                : record);
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
        return {id, std::nullopt, worker.entry.vm};
    }
    // No task may be started here before the store records the worker as open
    // again.
    worker.is_recorded = false;
    std::vector<task_key> runs;
    std::ranges::transform(worker.runs(), std::back_inserter(runs),
                           [](const auto& run) { return run.first; });
    fleet_record record{id, std::move(runs), worker.entry.vm};
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
    bound_leases(record, worker);
    return record;
}

void fleet_recorder::bound_leases(fleet_record& record,
                                  const fleet_worker& worker) const
{
    if (!handed_over_at_ || !worker.knows_clock())
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
    for (const auto& [key, run] : worker.runs())
    {
        const auto limit =
            worker.late_start_limit(run, options.max_order_delay);
        if (!run.confirmed_at && *handed_over_at_ < limit)
        {
            record.unanswered_starts.push_back(
                {key, *state_.clock.latest_at(limit)});
        }
    }
}

void fleet_recorder::on_stored()
{
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
