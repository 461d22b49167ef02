// See the header.
#include "batch/placement_state.hpp"

#include <algorithm>

namespace hemlockdeal
{

namespace
{

// A report may be this old; until then the use of a new task is estimated.
constexpr duration report_lag = std::chrono::seconds(15);

// Largest urgent task that the headroom is meant for, as a share of a worker.
constexpr double piece_share = 0.25;

resources larger(const resources& a, const resources& b)
{
    return {std::max(a.processors, b.processors), std::max(a.memory, b.memory),
            std::max(a.accelerators, b.accelerators)};
}

resources smaller(const resources& a, const resources& b)
{
    return {std::min(a.processors, b.processors), std::min(a.memory, b.memory),
            std::min(a.accelerators, b.accelerators)};
}

resources scaled(const resources& size, double factor)
{
    const auto scale = [&](std::int64_t value) {
        return static_cast<std::int64_t>(static_cast<double>(value) * factor);
    };
    return {{scale(size.processors.value)}, {scale(size.memory.value)}, {}};
}

} // namespace

void placement_state::reset(const placement_input& input,
                            const policy_options& options, class_table& classes,
                            const run_time_estimator& estimator,
                            const worker_health& health)
{
    now_ = input.now;
    capacity_ = input.capacity;
    quotas_.reset(input.quotas, input.capacity);
    running_tasks_ = 0;
    racks_.clear();
    job_racks_.clear();
    placed_racks_.clear();
    headroom_ = options.safeguards.keep_headroom
                    ? scaled(input.capacity, options.urgent_headroom)
                    : resources();
    open_free_ = resources();
    piece_ = headroom_;
    workers_.resize(input.workers.size());
    for (std::size_t i = 0; i < workers_.size(); ++i)
    {
        worker_slot& slot = workers_[i];
        slot.view = &input.workers[i];
        slot.hash = stable_hash(slot.view->id.value());
        slot.quarantined = health.is_quarantined(slot.hash);
        slot.failures_in_row = health.failures_in_row(slot.hash);
        add_worker(input.workers[i], classes, estimator, slot);
        if (is_open(slot))
        {
            open_free_ += slot.free;
            piece_ = smaller(piece_, scaled(slot.view->size, piece_share));
        }
    }
    std::ranges::sort(job_racks_);
    find_largest_free();
}

void placement_state::add_worker(const worker_view& view, class_table& classes,
                                 const run_time_estimator& estimator,
                                 worker_slot& slot)
{
    slot.free = view.free;
    slot.unused = view.size;
    slot.loads = {};
    slot.services = 0;
    const auto rack = std::ranges::find(racks_, view.rack);
    slot.rack = static_cast<std::uint16_t>(rack - racks_.begin());
    if (rack == racks_.end())
    {
        racks_.push_back(view.rack);
    }
    slot.running.clear();
    running_tasks_ += view.running.size();
    const job_submission* last_job = nullptr;
    running_slot running;
    for (const running_task& task : view.running)
    {
        if (task.job != last_job)
        {
            last_job = task.job;
            running.job = stable_hash(task.job->id.value());
            running.kind =
                static_cast<std::uint16_t>(classes.index(task.job->work_class));
            running.team = quotas_.index(task.job->team);
        }
        running.key = task_key(running.job, task.index);
        running.service = task.kind != nullptr &&
                          task.kind->kind == class_kind::latency_critical;
        const bool urgent = task.kind != nullptr && task.kind->urgent;
        running.evictable = !running.service && !urgent && !task.stopping;
        resources use = task.used;
        if (now_ - task.started_at < report_lag || use == resources())
        {
            use = larger(use, estimator.estimate(*task.job).used);
        }
        use.accelerators = task.job->task_size.accelerators;
        slot.unused -= use;
        running.load = static_cast<float>(use.processors.value) /
                       static_cast<float>(std::max<std::int64_t>(
                           view.size.processors.value, 1));
        slot.loads[running.kind] += running.load;
        if (running.service)
        {
            slot.services |= 1U << running.kind;
        }
        slot.running.push_back(running);
        job_racks_.push_back({running.job, slot.rack});
    }
}

void placement_state::place(std::size_t worker, const demand& d)
{
    worker_slot& slot = workers_[worker];
    const resources& size = d.task->job->task_size;
    slot.free -= size;
    slot.unused -= d.predicted;
    slot.loads[d.kind] += static_cast<float>(d.predicted.processors.value) /
                          static_cast<float>(std::max<std::int64_t>(
                              slot.view->size.processors.value, 1));
    if (d.service)
    {
        slot.services |= 1U << d.kind;
    }
    if (is_open(slot))
    {
        open_free_ -= size;
    }
    quotas_.add(d.team, size);
    placed_racks_.push_back({d.job, slot.rack});
    find_largest_free();
}

void placement_state::mark_evicted(std::size_t worker, std::size_t running)
{
    running_slot& task = workers_[worker].running[running];
    task.evictable = false;
    quotas_.remove(task.team,
                   workers_[worker].view->running[running].job->task_size);
}

void placement_state::set_load(std::size_t worker, std::size_t running,
                               float load)
{
    running_slot& task = workers_[worker].running[running];
    workers_[worker].loads[task.kind] += load - task.load;
    task.load = load;
}

bool placement_state::leaves_headroom(const worker_slot& worker,
                                      const resources& size) const
{
    // A task that is almost as large as the shard would never start otherwise.
    const resources with_headroom = size + headroom_;
    if (!with_headroom.fits_in(capacity_))
    {
        return true;
    }
    if (with_headroom.processors > open_free_.processors ||
        with_headroom.memory > open_free_.memory)
    {
        return false;
    }
    if (workers_with_piece_ == 0)
    {
        // Only the worker that comes closest is kept from filling up.
        return &worker != most_free_ || headroom_ == resources();
    }
    return workers_with_piece_ > 1 || !has_piece(worker.free) ||
           has_piece(worker.free - size);
}

std::size_t placement_state::tasks_in_rack(std::uint64_t job,
                                           std::uint16_t rack) const
{
    const job_in_rack key{job, rack};
    const auto running = std::ranges::upper_bound(job_racks_, key) -
                         std::ranges::lower_bound(job_racks_, key);
    return static_cast<std::size_t>(running +
                                    std::ranges::count(placed_racks_, key));
}

void placement_state::find_largest_free()
{
    largest_free_ = resources();
    workers_with_piece_ = 0;
    most_free_ = nullptr;
    for (const worker_slot& slot : workers_)
    {
        if (!is_open(slot))
        {
            continue;
        }
        largest_free_ = larger(largest_free_, slot.free);
        workers_with_piece_ += has_piece(slot.free) ? 1U : 0U;
        if (most_free_ == nullptr ||
            slot.free.processors > most_free_->free.processors)
        {
            most_free_ = &slot;
        }
    }
}

} // namespace hemlockdeal
