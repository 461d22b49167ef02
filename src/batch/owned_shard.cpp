// Runs the parts of an owned shard.
#include "batch/owned_shard.hpp"

#include <algorithm>
#include <utility>

namespace hemlockdeal
{

namespace
{

// The policy is asked at most this often, also when much changes.
constexpr duration placement_gap = std::chrono::milliseconds(50);
// A release does not wait longer for its last commands and flushes.
constexpr duration release_patience = std::chrono::seconds(5);

} // namespace

owned_shard::owned_shard(batch_context& context, const shard_id& shard,
                         epoch owner_epoch, row_version version, time_point now)
    : state_(context, shard, owner_epoch, version, now), recovery_(state_),
      inbox_(state_), driver_(state_), mover_(state_)
{
    state_.journal.on_flushed(
        [this](const std::vector<journal_entry>& batch, time_point at) {
            inbox_.on_flushed(batch);
            driver_.on_flushed(batch, at);
        });
    state_.journal.on_lost([this](time_point) { state_.lost = true; });
    state_.journal.on_ended([this](const job_id& job) {
        const job_part* part = state_.find_part(job);
        if (part != nullptr && part->is_over())
        {
            state_.parts.erase(job);
        }
    });
}

void owned_shard::on_tick(time_point now)
{
    if (state_.lost)
    {
        return;
    }
    if (!state_.context.may_act(now))
    {
        driver_.hold(now);
        return;
    }
    const std::weak_ptr<void> alive = weak_from_this();
    recovery_.on_tick(alive, now);
    if (!state_.active)
    {
        return;
    }
    if (state_.releasing && !releasing_since_)
    {
        releasing_since_ = now;
    }
    const bool out = state_.context.zone_is_out(state_.id.zone);
    if (zone_was_out_ && !out)
    {
        zone_back_at_ = now;
    }
    zone_was_out_ = out;
    inbox_.on_tick(alive, now);
    mover_.on_tick(now);
    driver_.on_tick(now);
    state_.journal.on_tick(weak_from_this(), now);
}

void owned_shard::on_membership(time_point now)
{
    if (state_.active)
    {
        state_.ledger.update_members(now);
        state_.placement_wanted = true;
    }
}

bool owned_shard::may_be_released(time_point now) const
{
    if (!state_.releasing || !releasing_since_)
    {
        return state_.releasing && !state_.active;
    }
    return now - *releasing_since_ > release_patience ||
           (state_.journal.is_idle() && !driver_.has_unanswered_starts(now));
}

bool owned_shard::wants_placement(time_point now) const
{
    const duration passed = now - placed_at_;
    return state_.may_act(now) && !state_.releasing &&
           (passed >= state_.context.options.placement_interval ||
            (state_.placement_wanted && passed >= placement_gap));
}

std::uint32_t owned_shard::starts_at_most(time_point now)
{
    const batch_context& context = state_.context;
    const batch_options& options = context.options;
    if (options.safeguards.check_freshness_before_start &&
        (context.zone_is_out(state_.id.zone) ||
         !context.configuration.is_fresh(now)))
    {
        return 0;
    }
    // Starts wait for the journal anyway; a long backlog is not made longer.
    if (state_.journal.backlog() / 2 >= options.starts_per_pass)
    {
        return 0;
    }
    if (!zone_back_at_)
    {
        return options.starts_per_pass;
    }
    const duration back = now - *zone_back_at_;
    if (back >= options.zone_back_ramp)
    {
        zone_back_at_.reset();
        return options.starts_per_pass;
    }
    return 1 +
           static_cast<std::uint32_t>(options.starts_per_pass * back.count() /
                                      options.zone_back_ramp.count());
}

worker_view owned_shard::view_of(const worker_state& worker,
                                 time_point now) const
{
    worker_view view{worker.id, worker.rack, worker.size, {}, false, {}};
    view.accepts_starts = state_.ledger.accepts_starts(worker, now);
    if (view.accepts_starts)
    {
        view.free = state_.ledger.free_on(worker);
    }
    view.running.reserve(worker.assigned.size());
    for (const task_ref& ref : worker.assigned)
    {
        const batch_task& task = ref.task();
        const attempt_runtime& runtime = task.runtime;
        view.running.push_back(
            {&ref.part->job, state_.context.class_of(ref.part->job), ref.index,
             ref.part->submitted_at, runtime.started_at,
             runtime.checkpointed_at, task.progress, runtime.used,
             runtime.share, task.evictions,
             runtime.stop_wanted || task.phase != task_phase::running});
    }
    return view;
}

placement_view owned_shard::view(time_point now)
{
    placed_at_ = now;
    state_.placement_wanted = false;
    placement_view view;
    std::map<team_id, resources> used;
    view.workers.reserve(state_.ledger.workers().size());
    for (const auto& [id, worker] : state_.ledger.workers())
    {
        view.workers.push_back(view_of(worker, now));
        view.input.capacity += worker.listed ? worker.size : resources();
        for (const task_ref& ref : worker.assigned)
        {
            used[ref.part->job.team] += ref.part->job.task_size;
        }
    }
    for (const auto& [job, part] : state_.parts)
    {
        const work_class* kind = state_.context.class_of(part->job);
        for (const batch_task& task : part->tasks)
        {
            if (task.phase == task_phase::waiting)
            {
                view.waiting.push_back({&part->job, kind, task.index,
                                        part->submitted_at, task.progress,
                                        task.evictions, task.failed_on});
            }
        }
    }
    std::ranges::stable_sort(view.waiting, {}, &waiting_task::submitted_at);
    const configuration* current = state_.context.configuration.current();
    if (current != nullptr)
    {
        for (const team& t : current->content.teams)
        {
            view.quotas.push_back({t.id, t.quota_percent, used[t.id]});
        }
        std::ranges::sort(view.quotas, {}, &team_quota::team);
    }
    view.input.shard = state_.id;
    view.input.now = now;
    view.input.waiting = view.waiting;
    view.input.workers = view.workers;
    view.input.quotas = view.quotas;
    view.input.starts_at_most = starts_at_most(now);
    return view;
}

void owned_shard::apply(const placement_view& view,
                        const placement_output& output, time_point now)
{
    if (!state_.may_act(now))
    {
        return;
    }
    std::uint32_t placed = 0;
    for (const task_placement& placement : output.placements)
    {
        if (placed >= view.input.starts_at_most)
        {
            break;
        }
        if (placement.waiting < view.waiting.size() &&
            placement.worker < view.workers.size())
        {
            ++placed;
            place(view.waiting[placement.waiting],
                  view.workers[placement.worker], now);
        }
    }
    const auto running = [&](std::uint32_t worker,
                             std::uint32_t index) -> std::optional<task_ref> {
        if (worker >= view.workers.size() ||
            index >= view.workers[worker].running.size())
        {
            return std::nullopt;
        }
        const running_task& chosen = view.workers[worker].running[index];
        job_part* part = state_.find_part(chosen.job->id);
        const batch_task* task =
            part == nullptr ? nullptr : part->find(chosen.index);
        if (task == nullptr || task->phase != task_phase::running ||
            task->worker != view.workers[worker].id)
        {
            return std::nullopt;
        }
        return task_ref{part, chosen.index};
    };
    for (const task_eviction& eviction : output.evictions)
    {
        if (const auto ref = running(eviction.worker, eviction.running))
        {
            state_.record_event("task.evict", *ref->part, ref->task());
            state_.stop(*ref, now);
        }
    }
    for (const task_throttle& throttle : output.throttles)
    {
        if (const auto ref = running(throttle.worker, throttle.running))
        {
            driver_.throttle(*ref, throttle.share, now);
        }
    }
}

void owned_shard::place(const waiting_task& chosen, const worker_view& target,
                        time_point now)
{
    job_part* part = state_.find_part(chosen.job->id);
    worker_state* worker = state_.ledger.find(target.id);
    const batch_task* task =
        part == nullptr ? nullptr : part->find(chosen.index);
    if (task == nullptr || worker == nullptr ||
        task->phase != task_phase::waiting ||
        !state_.ledger.accepts_starts(*worker, now) ||
        !part->job.task_size.fits_in(state_.ledger.free_on(*worker)))
    {
        return;
    }
    const urgency when = chosen.kind != nullptr && chosen.kind->urgent
                             ? urgency::urgent
                             : urgency::normal;
    state_.change(start_intended{part->job.id, chosen.index, task->attempt + 1,
                                 worker->id, state_.context.members.version},
                  when, now);
    part->find(chosen.index)->runtime.intended_at = now;
}

shard_digest owned_shard::digest(time_point now) const
{
    shard_digest digest{state_.id, state_.owner_epoch, {}, 0};
    if (state_.may_act(now) && !state_.releasing)
    {
        digest.free = state_.ledger.free(now);
    }
    for (const auto& [job, part] : state_.parts)
    {
        digest.waiting_tasks += static_cast<std::uint32_t>(std::ranges::count(
            part->tasks, task_phase::waiting, &batch_task::phase));
    }
    return digest;
}

shard_status owned_shard::status(const vm_id& owner, time_point now) const
{
    const shard_digest d = digest(now);
    shard_status status{state_.id, owner, state_.owner_epoch, d.free, 0,
                        0,         0,     d.waiting_tasks};
    status.workers = static_cast<std::uint32_t>(state_.ledger.workers().size());
    for (const auto& [id, worker] : state_.ledger.workers())
    {
        status.tasks_running +=
            static_cast<std::uint32_t>(worker.assigned.size());
    }
    return status;
}

std::optional<time_point> owned_shard::next_wakeup() const
{
    return state_.journal.due();
}

} // namespace hemlockdeal
