// See the header.
#include "batch/target_policy.hpp"

#include <algorithm>
#include <tuple>

#include "batch/eviction_planner.hpp"
#include "batch/slack_order.hpp"
#include "batch/worker_choice.hpp"

namespace hemlockdeal
{

namespace
{

// Time for which the place of evicted work is kept: a stop that takes longer
// has failed.
constexpr duration eviction_wait = std::chrono::seconds(15);

// Bounds the time of a pass.
constexpr std::size_t refused_at_most = 64;
constexpr std::size_t eviction_plans_at_most = 4;

// True when a worker that evicts some of its work could take the task.
bool needs_room(waiting_cause cause)
{
    switch (cause)
    {
    case waiting_cause::processors:
    case waiting_cause::memory:
    case waiting_cause::accelerators:
    case waiting_cause::headroom:
    case waiting_cause::reserved:
        return true;
    default:
        return false;
    }
}

} // namespace

target_policy::target_policy(const policy_options& options)
    : options_(options), health_(options), budget_(options), guard_(options)
{}

placement_output target_policy::place(const placement_input& input)
{
    placement_output output;
    worker_hashes_.clear();
    std::ranges::transform(input.workers, std::back_inserter(worker_hashes_),
                           [](const worker_view& worker) {
                               return stable_hash(worker.id.value());
                           });
    health_.set_workers(worker_hashes_, input.now);
    budget_.advance(input.now);
    reserved_.remove_expired(input.now);
    const bool with_batch =
        input.waiting.size() <= options_.long_queue ||
        input.now - batch_examined_at_ >= options_.long_queue_interval;
    if (with_batch)
    {
        batch_examined_at_ = input.now;
        reasons_.start_pass();
    }
    probe_due_ = std::ranges::any_of(worker_hashes_, [&](std::uint64_t worker) {
        return health_.is_probe_due(worker, input.now);
    });
    refused_.clear();
    eviction_plans_ = 0;
    starts_at_most_ = input.starts_at_most;
    state_.reset(input, options_, classes_, estimator_, health_);
    guard_.run(input.tails, state_, classes_, model_, budget_, output);
    collect(input, with_batch);
    const auto first_batch = std::ranges::find(
        demands_, tier::batch, [](const demand& d) { return tier_of(d); });
    for (const demand& d : std::span(demands_.begin(), first_batch))
    {
        const waiting_cause cause = try_place(d, output);
        if (d.urgent)
        {
            evict_for(d, cause, output);
        }
    }
    place_batch(output);
    return output;
}

void target_policy::observe(const policy_observation& observation,
                            time_point now)
{
    if (const auto* finished = std::get_if<task_finished>(&observation))
    {
        const std::uint64_t job = stable_hash(finished->job.id.value());
        health_.add_success(stable_hash(finished->worker.value()), job,
                            finished->ran_for, now);
        if (options_.safeguards.learn)
        {
            tracker_.finish(finished->job, finished->index, finished->ran_for,
                            estimator_);
        }
    }
    else if (const auto* failed = std::get_if<task_failed>(&observation))
    {
        const std::uint64_t job = stable_hash(failed->job.id.value());
        health_.add_failure(stable_hash(failed->worker.value()), job, now);
        tracker_.forget(task_key(job, failed->index));
    }
    else if (const auto* observed = std::get_if<worker_observed>(&observation);
             observed != nullptr && options_.safeguards.learn)
    {
        tracker_.observe(observed->worker, now, classes_, model_, estimator_);
    }
}

std::string target_policy::waiting_reason(const job_id& job) const
{
    return to_text(reasons_.find(stable_hash(job.value())));
}

bool target_policy::is_quarantined(const worker_id& worker) const
{
    return health_.is_quarantined(stable_hash(worker.value()));
}

void target_policy::collect(const placement_input& input, bool with_batch)
{
    demands_.clear();
    const job_submission* last_job = nullptr;
    task_estimate estimate;
    demand d;
    for (std::uint32_t w = 0; w < input.waiting.size(); ++w)
    {
        const waiting_task& task = input.waiting[w];
        d.urgent = task.kind != nullptr && task.kind->urgent;
        d.service = task.kind != nullptr &&
                    task.kind->kind == class_kind::latency_critical;
        if (!with_batch && !d.urgent && !d.service)
        {
            continue;
        }
        if (task.job != last_job)
        {
            last_job = task.job;
            estimate = estimator_.estimate(*task.job);
            d.job = stable_hash(task.job->id.value());
            d.kind = static_cast<std::uint16_t>(
                classes_.index(task.job->work_class));
            d.team = state_.quotas().index(task.job->team);
            d.predicted = estimate.used;
        }
        d.task = &task;
        d.waiting = w;
        d.key = task_key(d.job, task.index);
        d.slack = slack(task, estimate, input.now);
        demands_.push_back(d);
    }
    std::ranges::sort(demands_, {}, [](const demand& a) {
        return std::tuple(tier_of(a), a.slack, a.waiting);
    });
}

target_policy::tier target_policy::tier_of(const demand& d)
{
    if (d.urgent)
    {
        return tier::urgent;
    }
    return d.service ? tier::service : tier::batch;
}

void target_policy::place_batch(placement_output& output)
{
    const auto first = std::ranges::find(
        demands_, tier::batch, [](const demand& d) { return tier_of(d); });
    const std::span batch(first, demands_.end());
    // Teams below their quota go before teams that borrow.
    borrowing_.clear();
    for (const demand& d : batch)
    {
        const bool below = state_.quotas().is_below(d.team) ||
                           !options_.safeguards.quota_before_borrowing;
        if (!below)
        {
            borrowing_.push_back(&d);
            continue;
        }
        if (try_probe(d, output))
        {
            continue;
        }
        const waiting_cause cause = try_place(d, output);
        if (!needs_room(cause))
        {
            continue;
        }
        if (may_reclaim(d))
        {
            evict_for(d, cause, output);
        }
        reserve_worker(d);
    }
    for (const demand* d : borrowing_)
    {
        if (!try_probe(*d, output))
        {
            try_place(*d, output);
        }
    }
}

waiting_cause target_policy::try_place(const demand& d,
                                       placement_output& output)
{
    if (output.placements.size() >= starts_at_most_)
    {
        reasons_.add(d.job, waiting_cause::start_limit);
        return waiting_cause::start_limit;
    }
    const reservation* const own = reserved_.find(d.key);
    waiting_cause cause =
        own == nullptr ? known_obstacle(d) : waiting_cause::none;
    std::optional<std::uint32_t> worker;
    if (cause == waiting_cause::none)
    {
        const worker_choice choice(options_, state_, model_, guard_, reserved_);
        worker = choice.choose(d, cause);
        if (!worker && own == nullptr && d.task->failed_on.empty() &&
            refused_.size() < refused_at_most)
        {
            refused_.push_back(
                {d.task->job->task_size, d.predicted, d.kind, cause});
        }
    }
    if (!worker)
    {
        reasons_.add(d.job, own != nullptr && own->by_eviction
                                ? waiting_cause::eviction_pending
                                : cause);
        return cause;
    }
    place_on(*worker, d, output);
    return waiting_cause::none;
}

waiting_cause target_policy::known_obstacle(const demand& d) const
{
    // Capacity only shrinks during a pass, so what did not fit a task does not
    // fit a larger one of its class either.
    const resources& size = d.task->job->task_size;
    const auto found =
        std::ranges::find_if(refused_, [&](const refused_demand& r) {
            return r.kind == d.kind && r.size.fits_in(size) &&
                   r.predicted.fits_in(d.predicted);
        });
    return found == refused_.end() ? waiting_cause::none : found->cause;
}

void target_policy::place_on(std::uint32_t worker, const demand& d,
                             placement_output& output)
{
    output.placements.push_back({d.waiting, worker});
    state_.place(worker, d);
    reserved_.remove(d.key);
    tracker_.start(d.key, d.task->progress, state_.now());
}

bool target_policy::try_probe(const demand& d, placement_output& output)
{
    if (!probe_due_ || output.placements.size() >= starts_at_most_)
    {
        return false;
    }
    const worker_choice choice(options_, state_, model_, guard_, reserved_);
    const std::optional<std::uint32_t> worker =
        choice.choose_probe(d, [&](std::uint64_t hash) {
            return health_.is_probe_due(hash, state_.now());
        });
    if (!worker)
    {
        return false;
    }
    health_.add_probe(state_.worker(*worker).hash, state_.now());
    place_on(*worker, d, output);
    return true;
}

void target_policy::evict_for(const demand& d, waiting_cause cause,
                              placement_output& output)
{
    const reservation* const earlier = reserved_.find(d.key);
    if (!needs_room(cause) || !reserved_.has_room() ||
        (earlier != nullptr && earlier->by_eviction) ||
        (!d.urgent && eviction_plans_ >= eviction_plans_at_most))
    {
        return;
    }
    ++eviction_plans_;
    const std::optional<eviction_plan> plan = plan_eviction(
        d, !d.urgent, d.urgent ? eviction_cause::urgent : eviction_cause::quota,
        state_, budget_,
        [&](const worker_slot& worker) {
            // What the headroom needs cannot be used without evictions.
            return cause == waiting_cause::headroom
                       ? resources()
                       : worker.free -
                             reserved_.for_others(worker.hash, d.key, d.urgent);
        },
        [&](const worker_slot& worker) {
            return worker.view->accepts_starts && !worker.quarantined &&
                   !has_failed_on(d, worker.view->id);
        });
    if (!plan || plan->running.empty())
    {
        return;
    }
    const worker_slot& worker = state_.worker(plan->worker);
    for (const std::uint32_t running : plan->running)
    {
        budget_.record(worker.hash, state_.now());
        output.evictions.push_back({plan->worker, running});
        state_.mark_evicted(plan->worker, running);
    }
    reserved_.remove(d.key);
    reserved_.add({d.key, worker.hash, d.task->job->task_size,
                   state_.now() + eviction_wait, true, d.urgent});
}

bool target_policy::may_reclaim(const demand& d) const
{
    const duration waited = state_.now() - d.task->submitted_at;
    if (waited >= options_.reclaim_after)
    {
        return true;
    }
    const duration target =
        d.task->kind == nullptr ? duration(0) : d.task->kind->target;
    return waited >= options_.reclaim_not_before &&
           static_cast<double>(d.slack.count()) <
               options_.reclaim_slack_share *
                   static_cast<double>(target.count());
}

void target_policy::reserve_worker(const demand& d)
{
    if (reserved_.has_drain() || reserved_.find(d.key) != nullptr ||
        state_.now() - d.task->submitted_at < options_.reserve_after)
    {
        return;
    }
    const resources& size = d.task->job->task_size;
    const worker_slot* best = nullptr;
    for (const worker_slot& worker : state_.workers())
    {
        const bool suits = size.fits_in(worker.view->size) &&
                           worker.view->accepts_starts && !worker.quarantined &&
                           !has_failed_on(d, worker.view->id);
        if (suits &&
            (best == nullptr || worker.free.processors > best->free.processors))
        {
            best = &worker;
        }
    }
    if (best != nullptr)
    {
        reserved_.add({d.key, best->hash, size,
                       state_.now() + options_.reservation_time, false, false});
    }
}

} // namespace hemlockdeal
