// Placement of tasks that start independently of each other.
#include "jobs/step_placer.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace hemlockdeal::jobs
{

namespace
{

// A step that found no room is retried on workers that have freed capacity
// since, and after this interval on all workers, because loads and health
// change without an event.
constexpr duration full_search_interval = std::chrono::milliseconds(250);

} // namespace

std::size_t step_placer::place(const waiting_step& step, time_point now)
{
    auto& record = step.record();
    const bool is_full_search =
        step.owner->definition().policy.needs_advice ||
        now - record.searched_at >= full_search_interval;
    const auto lists = context_.candidates.lists_for(step, is_full_search, now);
    const auto result = place_tasks(step, {lists, lists}, now);
    if (result.is_waiting_for_store || result.is_held_by_cap ||
        result.without_room == 0)
    {
        record.searched_at = {};
    }
    else if (is_full_search)
    {
        record.searched_at = now;
    }
    return result.without_room;
}

step_placer::outcome step_placer::place_tasks(const waiting_step& step,
                                              open_lists lists, time_point now)
{
    outcome result;
    const auto& record = step.record();
    const auto waiting = record.waiting;
    std::uint32_t evaluated = 0;
    for (std::uint32_t i = 0; i < step.definition().task_count; ++i)
    {
        // No list has room for the other tasks, and none has a reservation.
        if (lists.for_others.empty() && record.is_untouched_from(i))
        {
            result.without_room += waiting - std::min(waiting, evaluated);
            break;
        }
        const auto key = step.task(i);
        const auto& task = step.owner->peek(key);
        evaluated += task.phase == task_phase::waiting ? 1 : 0;
        if (!may_start(task, now))
        {
            continue;
        }
        // All tasks of a step have the same size.
        if (!context_.quota.admits(*step.owner, step.definition(), 1, now))
        {
            result.without_room += waiting + 1 - std::min(waiting, evaluated);
            result.is_held_by_cap = true;
            break;
        }
        auto* const worker = find_worker(step, key, lists, now);
        if (worker == nullptr)
        {
            ++result.without_room;
            continue;
        }
        if (!context_.starter.prepare(*step.owner, key, *worker, now))
        {
            result.is_waiting_for_store = true;
            continue;
        }
        context_.starter.order(*step.owner, key, *worker,
                               context_.state.next_run(task), now);
    }
    return result;
}

fleet_worker* step_placer::find_worker(const waiting_step& step,
                                       const task_key& key, open_lists& lists,
                                       time_point now)
{
    if (auto* const reserved =
            context_.reservations.find(*step.owner, key, now))
    {
        return reserved;
    }
    auto& open = step.owner->peek(key).needs_trial() ? lists.for_suspects
                                                     : lists.for_others;
    while (!open.empty())
    {
        auto* const worker =
            context_.search.find(open.front(), *step.owner, key, now);
        if (worker != nullptr)
        {
            return worker;
        }
        open.pop_front();
    }
    return nullptr;
}

} // namespace hemlockdeal::jobs
