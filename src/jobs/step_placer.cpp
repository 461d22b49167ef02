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

std::size_t step_placer::place(step_turn& turn, time_point now)
{
    const auto& step = *turn.step;
    auto& record = step.record();
    // Avoids a search for workers while the cap lets nothing start.
    if (!context_.quota.admits(*step.owner, step.definition(), 1, now))
    {
        turn.is_unfinished = false;
        record.searched_at = {};
        return record.waiting -
               std::min<std::size_t>(record.waiting, turn.waiting_before);
    }
    const bool is_full_search =
        step.owner->definition().policy.needs_advice ||
        now - record.searched_at >= full_search_interval;
    const auto lists = context_.candidates.lists_for(step, is_full_search, now);
    const auto result = place_tasks(turn, {lists, lists}, now);
    if (turn.is_unfinished)
    {
        return result.without_room;
    }
    if (turn.is_waiting_for_store || result.is_held_by_cap ||
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

step_placer::outcome step_placer::place_tasks(step_turn& turn, open_lists lists,
                                              time_point now)
{
    outcome result;
    turn.is_unfinished = false;
    const auto& step = *turn.step;
    const auto& record = step.record();
    const auto waiting = record.waiting;
    auto evaluated = turn.waiting_before;
    std::size_t placed = 0;
    std::size_t ordered = 0;
    for (auto i = turn.first; i < step.definition().task_count; ++i)
    {
        if (placed >= turn.max_tasks)
        {
            turn.is_unfinished = true;
            turn.first = i;
            turn.waiting_before = evaluated - ordered;
            break;
        }
        // No list has room for the other tasks, and none has a reservation.
        if (lists.for_others.empty() && record.is_untouched_from(i))
        {
            result.without_room +=
                waiting - std::min<std::size_t>(waiting, evaluated);
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
            result.without_room +=
                waiting + 1 - std::min<std::size_t>(waiting, evaluated);
            result.is_held_by_cap = true;
            break;
        }
        const auto place = find_place(step, key, lists, now);
        if (place.worker == nullptr)
        {
            ++result.without_room;
            continue;
        }
        ++placed;
        if (!context_.starter.prepare(*step.owner, key, place, now))
        {
            turn.is_waiting_for_store = true;
            continue;
        }
        ++ordered;
        context_.starter.order(*step.owner, key, *place.worker,
                               context_.state.next_run(task), now);
    }
    return result;
}

found_place step_placer::find_place(const waiting_step& step,
                                    const task_key& key, open_lists& lists,
                                    time_point now)
{
    if (auto* const bound_to = context_.bindings.worker_for(key, now))
    {
        return context_.find_on(*bound_to, *step.owner, key, now);
    }
    if (const auto reserved = context_.reservations.find(*step.owner, key, now);
        reserved.worker != nullptr)
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
            return {worker, open.front().mode};
        }
        open.pop_front();
    }
    return {};
}

} // namespace hemlockdeal::jobs
