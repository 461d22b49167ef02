// Places the tasks of a gang, which start together or not at all.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "jobs/placement_context.hpp"

namespace hemlockdeal::jobs
{

class gang_placer
{
public:
    explicit gang_placer(const placement_context& context) : context_(context)
    {}

    // Orders the start of all tasks of the gang if there is room for each.
    // Returns the number of tasks without room.
    std::size_t place(const waiting_step& gang, time_point now);

private:
    struct member_place
    {
        task_key key;
        found_place place;
    };

    // A place for each member, or fewer if there is no room for all.
    std::vector<member_place> find_places(const waiting_step& gang,
                                          time_point now);
    // The reserved place of the member or else the best one of the lists.
    found_place find_place(const waiting_step& gang, const task_key& key,
                           const std::deque<worker_list>& lists,
                           time_point now);
    // Returns true if all members may be ordered.
    bool prepare(const waiting_step& gang,
                 const std::vector<member_place>& places, time_point now);
    // The run number that all members get.
    std::uint32_t next_run(const waiting_step& gang) const;

    placement_context context_;
};

} // namespace hemlockdeal::jobs
