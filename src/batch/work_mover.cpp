// Transfers between shards.
#include "batch/work_mover.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace hemlockdeal
{

namespace
{

constexpr duration move_interval = std::chrono::seconds(1);
constexpr duration digest_too_old = std::chrono::seconds(10);
// Bounds the size of journal rows and the haste of a transfer.
constexpr std::size_t moves_per_interval = 100;

} // namespace

work_mover::work_mover(shard_state& state) : state_(state)
{}

void work_mover::on_tick(time_point now)
{
    if (!state_.may_act(now) || state_.releasing || now < next_)
    {
        return;
    }
    next_ = now + move_interval;
    const bool out = state_.context.zone_is_out(state_.id.zone);
    if (!out && !state_.context.configuration.is_fresh(now))
    {
        return;
    }
    move_waiting(now, out);
    if (out)
    {
        evict(now);
    }
    for (auto& [id, worker] : state_.ledger.workers())
    {
        if (worker.leaving)
        {
            const std::vector<task_ref> assigned = worker.assigned;
            for (const task_ref& ref : assigned)
            {
                state_.stop(ref, now);
            }
        }
    }
}

std::vector<task_ref> work_mover::by_slack(bool active) const
{
    std::vector<std::pair<time_point, task_ref>> found;
    for (auto& [job, part] : state_.parts)
    {
        const work_class* kind = state_.context.class_of(part->job);
        const time_point target =
            part->submitted_at + (kind == nullptr ? duration() : kind->target);
        for (const batch_task& task : part->tasks)
        {
            const bool wanted =
                active ? task.is_active() && !task.runtime.stop_wanted
                       : task.phase == task_phase::waiting;
            if (wanted)
            {
                found.push_back(
                    {target, {const_cast<job_part*>(&*part), task.index}});
            }
        }
    }
    std::ranges::stable_sort(found, {}, [](const auto& f) { return f.first; });
    std::vector<task_ref> refs;
    std::ranges::transform(found, std::back_inserter(refs),
                           [](const auto& f) { return f.second; });
    return refs;
}

std::optional<shard_id> work_mover::find_target(const job_submission& job,
                                                time_point now, bool reserve)
{
    batch_context& context = state_.context;
    known_digest* best = nullptr;
    for (auto& [shard, known] : context.digests)
    {
        if (shard != state_.id && now - known.received_at < digest_too_old &&
            !context.zone_is_out(shard.zone) &&
            context.zone_is_allowed(job, shard.zone) &&
            context.workers.can_fit(shard, job.task_size) &&
            job.task_size.fits_in(known.digest.free) &&
            (best == nullptr ||
             known.digest.free.processors > best->digest.free.processors))
        {
            best = &known;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    if (reserve)
    {
        best->digest.free -= job.task_size;
    }
    return best->digest.shard;
}

bool work_mover::has_room_here(const job_submission& job, time_point now) const
{
    return std::ranges::any_of(state_.ledger.workers(), [&](const auto& item) {
        return state_.ledger.accepts_starts(item.second, now) &&
               job.task_size.fits_in(state_.ledger.free_on(item.second));
    });
}

void work_mover::move_waiting(time_point now, bool zone_out)
{
    const duration patience = state_.context.options.move_after;
    std::map<std::pair<job_id, shard_id>, std::vector<std::uint32_t>> moves;
    std::size_t moved = 0;
    for (const task_ref& ref : by_slack(false))
    {
        if (moved >= moves_per_interval)
        {
            break;
        }
        const job_submission& job = ref.part->job;
        const time_point since =
            std::max(ref.part->submitted_at, state_.active_at);
        if (!zone_out && (now - since < patience || has_room_here(job, now)))
        {
            continue;
        }
        const std::optional<shard_id> target = find_target(job, now, true);
        if (target)
        {
            ++moved;
            moves[{job.id, *target}].push_back(ref.index);
        }
    }
    for (const auto& [route, indexes] : moves)
    {
        const job_part& part = *state_.find_part(route.first);
        inbox_message message{route.second, {}, false};
        message.part.job = part.job;
        message.part.submitted_at = part.submitted_at;
        for (const std::uint32_t index : indexes)
        {
            message.part.tasks.push_back(*part.find(index));
            message.part.tasks.back().runtime = {};
        }
        std::ranges::sort(message.part.tasks, {}, &batch_task::index);
        state_.change({tasks_moved{route.first, indexes, route.second},
                       std::nullopt, std::move(message)},
                      urgency::normal, now);
        state_.context.actions.emplace_back(
            send_to_peer{std::nullopt, inbox_notice{route.second}});
    }
}

void work_mover::evict(time_point now)
{
    std::uint32_t evicted = 0;
    for (const task_ref& ref : by_slack(true))
    {
        if (evicted >= state_.context.options.zone_out_evictions_per_second)
        {
            return;
        }
        // Work that no other zone has room for goes on where it is.
        if (find_target(ref.part->job, now, true))
        {
            ++evicted;
            state_.record_event("task.evict", *ref.part, ref.task(),
                                "the zone is out");
            state_.stop(ref, now);
        }
    }
}

} // namespace hemlockdeal
