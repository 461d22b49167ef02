// Leases, order checks and reports of the emulated worker.
#include "emulation/leased_worker.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace hemlockdeal::emulation
{

using jobs::run_end;
using jobs::start_answer;
using jobs::task_key;
using std::chrono::milliseconds;

jobs::task_size unused_on(const leased_worker& worker)
{
    auto left = worker.entry.capacity;
    for (const auto& [key, run] : worker.running())
    {
        const auto& size = run.task_step->size;
        left.processor_millis -=
            run.task_step->fills ? 0 : size.processor_millis;
        left.memory_mb -= size.memory_mb;
    }
    return left;
}

bool leased_worker::has_room(const jobs::step& task_step) const
{
    const auto left = unused_on(*this);
    return task_step.size.memory_mb <= left.memory_mb &&
           (task_step.fills ||
            task_step.size.processor_millis <= left.processor_millis);
}

leased_worker::start_result leased_worker::start(const jobs::start_order& order,
                                                 std::uint64_t epoch,
                                                 const jobs::step& task_step,
                                                 duration work, time_point now)
{
    if (follows_later_than(epoch))
    {
        return {start_answer::superseded, false};
    }
    epoch_ = epoch;
    const auto active = running_.find(order.task);
    if (active != running_.end() && active->second.run == order.run)
    {
        return {start_answer::accepted, false};
    }
    if (active != running_.end() || order.run <= highest_ended_run_[order.task])
    {
        return {start_answer::run_too_low, false};
    }
    if (order.deadline <= clock(now))
    {
        return {start_answer::deadline_passed, false};
    }
    extend_lease(order.deadline, now);
    if (!has_room(task_step))
    {
        return {start_answer::no_room, false};
    }
    active_run run{order.run, &task_step, now, work, {}, std::nullopt};
    if (!task_step.is_gang)
    {
        run.works_since = now;
    }
    if (!order.checkpoint.empty())
    {
        run.restored = std::min(
            work, duration(milliseconds(std::stoll(order.checkpoint))));
    }
    running_[order.task] = run;
    return {start_answer::accepted, true};
}

bool leased_worker::stop(const jobs::stop_order& order, std::uint64_t epoch,
                         time_point now)
{
    if (follows_later_than(epoch))
    {
        return false;
    }
    epoch_ = epoch;
    auto& highest = highest_ended_run_[order.task];
    highest = std::max(highest, order.run);
    const auto active = running_.find(order.task);
    if (active != running_.end() && active->second.run <= order.run)
    {
        end(order.task, run_end::stopped, now);
    }
    return true;
}

bool leased_worker::receive(const jobs::poll_order& order, std::uint64_t epoch,
                            time_point now)
{
    if (follows_later_than(epoch))
    {
        return false;
    }
    epoch_ = epoch;
    if (order.deadline)
    {
        extend_lease(*order.deadline, now);
    }
    while (!ended_.empty() && ended_.front().number <= order.acknowledged)
    {
        ended_.pop_front();
    }
    return true;
}

jobs::worker_report leased_worker::report(time_point now) const
{
    jobs::worker_report out;
    out.clock = clock(now);
    out.incarnation = entry.incarnation;
    for (const auto& [key, run] : running_)
    {
        const auto target = std::chrono::duration_cast<jobs::worker_clock>(
            run.task_step->tail_target);
        const std::int64_t measurement =
            target.count() > 0 ? target.count() / 3
                               : run.task_step->size.processor_millis;
        const auto saved =
            std::chrono::floor<std::chrono::seconds>(done_work(run, now));
        out.running.push_back({key, run.run, checkpoint_at(run, saved),
                               percent_of(run, now), measurement});
    }
    const auto listed = std::min(ended_.size(), max_listed_ends);
    out.ended.assign(ended_.begin(),
                     ended_.begin() + static_cast<std::ptrdiff_t>(listed));
    out.has_more_ends = listed == max_listed_ends;
    return out;
}

duration leased_worker::done_work(const active_run& run, time_point now)
{
    return run.restored +
           (run.works_since ? now - *run.works_since : duration{});
}

int leased_worker::percent_of(const active_run& run, time_point now)
{
    constexpr int whole = 100;
    if (run.task_step->is_long_running)
    {
        return whole;
    }
    return static_cast<int>(whole * done_work(run, now) /
                            std::max(run.work, duration(1)));
}

std::string leased_worker::checkpoint_at(const active_run& run, duration done)
{
    if (!run.task_step->saves_progress || done <= duration{})
    {
        return {};
    }
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(done).count());
}

void leased_worker::extend_lease(jobs::worker_clock deadline, time_point now)
{
    const auto until = std::min(deadline, clock(now) + max_lease);
    lease_ = lease_ ? std::max(*lease_, until) : until;
}

void leased_worker::advance(time_point now)
{
    if (!is_up)
    {
        return;
    }
    if (lease_ && clock(now) > *lease_)
    {
        while (!running_.empty())
        {
            end(running_.begin()->first, run_end::lapsed, now);
        }
        lease_.reset();
    }
    std::vector<task_key> done;
    for (const auto& [key, run] : running_)
    {
        if (!run.task_step->is_long_running && run.works_since &&
            done_work(run, now) >= run.work)
        {
            done.push_back(key);
        }
    }
    std::ranges::for_each(
        done, [&](const task_key& key) { end(key, run_end::done, now); });
}

void leased_worker::end(const task_key& key, run_end how, time_point now)
{
    // The node keeps the key valid after the removal.
    const auto node = running_.extract(key);
    const auto& task = node.key();
    const auto& run = node.mapped();
    const auto checkpoint = how == run_end::stopped
                                ? checkpoint_at(run, done_work(run, now))
                                : std::string{};
    auto& highest = highest_ended_run_[task];
    highest = std::max(highest, run.run);
    ended_.push_back({++number_, task, run.run, how, checkpoint});
    new_ends_.push_back({task, how});
}

} // namespace hemlockdeal::emulation
