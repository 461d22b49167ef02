// Capacity of the workers of a shard.
#include "batch/worker_ledger.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "batch/batch_codec.hpp"

namespace hemlockdeal
{

namespace
{

// A start needs a token from a recent report, so a worker without one for
// this long is not worth an attempt.
constexpr duration report_too_old = std::chrono::seconds(15);

resources at_least_zero(resources r)
{
    r.processors.value = std::max<std::int64_t>(r.processors.value, 0);
    r.memory.value = std::max<std::int64_t>(r.memory.value, 0);
    r.accelerators.value = std::max<std::int64_t>(r.accelerators.value, 0);
    return r;
}

} // namespace

worker_ledger::worker_ledger(batch_context& context, shard_id shard)
    : context_(context), shard_(std::move(shard))
{}

worker_state& worker_ledger::ensure(const worker_id& id, time_point now)
{
    const auto [found, added] = workers_.try_emplace(id);
    if (added)
    {
        found->second.id = id;
        found->second.next_visit_at = now;
        note_absence(found->second, now);
    }
    return found->second;
}

void worker_ledger::note_absence(worker_state& worker, time_point now) const
{
    if (context_.members.version > 0 && !worker.absent_since &&
        context_.members.proves_absence_of(worker.id.value()))
    {
        worker.absent_since = now;
    }
}

void worker_ledger::update_members(time_point now)
{
    std::set<worker_id> listed;
    for (const member& m : context_.members.members)
    {
        const worker_id id(m.id);
        if (m.kind != member_kind::worker || m.zone != shard_.zone ||
            shard_of(id, m.zone, context_.options.shards_per_zone) != shard_)
        {
            continue;
        }
        listed.insert(id);
        worker_state& worker = ensure(id, now);
        worker.rack = m.rack;
        worker.address = m.address;
        worker.size = m.size;
        worker.leaving = m.state == member_state::leaving;
        worker.unusable = m.state == member_state::unusable;
        worker.listed = true;
        worker.absent_since.reset();
        worker.next_visit_at = std::min(worker.next_visit_at, now);
    }
    for (auto& [id, worker] : workers_)
    {
        if (!listed.contains(id))
        {
            worker.listed = false;
            note_absence(worker, now);
        }
    }
    remove_gone();
}

void worker_ledger::assign(const task_ref& ref, time_point now)
{
    worker_state& worker = ensure(ref.task().worker, now);
    worker.assigned.push_back(ref);
    worker.committed += ref.part->job.task_size;
    worker.next_visit_at = std::min(worker.next_visit_at, now);
}

void worker_ledger::release(const task_ref& ref, time_point now)
{
    worker_state* worker = find(ref.task().worker);
    if (worker != nullptr && std::erase(worker->assigned, ref) > 0)
    {
        worker->committed -= ref.part->job.task_size;
        worker->next_visit_at = std::min(worker->next_visit_at, now);
    }
}

worker_state* worker_ledger::find(const worker_id& id)
{
    const auto found = workers_.find(id);
    return found == workers_.end() ? nullptr : &found->second;
}

bool worker_ledger::accepts_starts(const worker_state& worker,
                                   time_point now) const
{
    if (!context_.options.safeguards.count_unknown_as_used)
    {
        return worker.listed;
    }
    return worker.listed && !worker.leaving && !worker.unusable &&
           worker.reported && now >= worker.no_starts_until &&
           now >= starts_after_ &&
           now - worker.report_received_at < report_too_old;
}

resources worker_ledger::free_on(const worker_state& worker) const
{
    if (context_.options.safeguards.count_unknown_as_used)
    {
        return at_least_zero(worker.size - worker.committed - worker.unknown);
    }
    resources known;
    for (const task_ref& ref : worker.assigned)
    {
        if (!ref.task().runtime.adopted)
        {
            known += ref.part->job.task_size;
        }
    }
    return at_least_zero(worker.size - known);
}

resources worker_ledger::free(time_point now) const
{
    resources sum;
    for (const auto& [id, worker] : workers_)
    {
        if (accepts_starts(worker, now))
        {
            sum += free_on(worker);
        }
    }
    return sum;
}

void worker_ledger::remove_gone()
{
    std::erase_if(workers_, [](const auto& item) {
        return !item.second.listed && item.second.assigned.empty();
    });
}

} // namespace hemlockdeal
