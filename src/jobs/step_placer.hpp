// Places the waiting tasks of a step one by one.
#pragma once

#include <cstddef>
#include <deque>

#include "jobs/placement_context.hpp"

namespace hemlockdeal::jobs
{

class step_placer
{
public:
    explicit step_placer(const placement_context& context) : context_(context)
    {}

    // Orders a start for each task of the turn that may start and for which a
    // worker has room. Returns the number of tasks without room.
    std::size_t place(step_turn& turn, time_point now);

private:
    // Lists in which a place may still be found. All tasks of a step have the
    // same size: a list without room for one of them has none for the others.
    // Suspects are choosier.
    struct open_lists
    {
        std::deque<worker_list> for_others;
        std::deque<worker_list> for_suspects;
    };

    struct outcome
    {
        std::size_t without_room = 0;
        // The cap of the account lets no further task start.
        bool is_held_by_cap = false;
    };

    outcome place_tasks(step_turn& turn, open_lists lists, time_point now);
    // The reserved place of the task or else the best one of the lists. Drops
    // the lists without room.
    found_place find_place(const waiting_step& step, const task_key& key,
                           open_lists& lists, time_point now);

    placement_context context_;
};

} // namespace hemlockdeal::jobs
