// Places the tasks of a gang, which start together or not at all.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "jobs/task_starter.hpp"
#include "jobs/worker_search.hpp"

namespace hemlockdeal::jobs
{

class gang_placer
{
public:
    gang_placer(scheduler_state& state, const candidate_workers& candidates,
                const place_reservations& reservations, worker_search& search,
                task_starter& starter)
        : state_(state), candidates_(candidates), reservations_(reservations),
          search_(search), starter_(starter)
    {}

    // Orders the start of all tasks of the gang if there is room for each.
    // Returns the number of tasks without room.
    std::size_t place(const waiting_step& gang, time_point now);

private:
    struct member_place
    {
        task_key key;
        fleet_worker* worker = nullptr;
    };

    // A place for each member, or fewer if there is no room for all.
    std::vector<member_place> find_places(const waiting_step& gang,
                                          time_point now);
    // Returns true if all members may be ordered.
    bool prepare(const waiting_step& gang,
                 const std::vector<member_place>& places, time_point now);
    // The run number that all members get.
    std::uint32_t next_run(const waiting_step& gang) const;

    const scheduler_state& state_;
    const candidate_workers& candidates_;
    const place_reservations& reservations_;
    worker_search& search_;
    task_starter& starter_;
};

} // namespace hemlockdeal::jobs
