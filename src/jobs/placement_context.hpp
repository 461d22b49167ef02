// What the placers of steps and gangs share.
#pragma once

#include "jobs/candidate_workers.hpp"
#include "jobs/place_reservations.hpp"
#include "jobs/quota/quota_gate.hpp"
#include "jobs/start_binding.hpp"
#include "jobs/task_starter.hpp"
#include "jobs/worker_search.hpp"

namespace hemlockdeal::jobs
{

struct placement_context
{
    const scheduler_state& state;
    const candidate_workers& candidates;
    const place_reservations& reservations;
    worker_search& search;
    task_starter& starter;
    const quota_gate& quota;
    const start_binding& bindings;

    // The place of a task that may run on this worker only.
    found_place find_on(fleet_worker& worker, const live_job& owner,
                        const task_key& key, time_point now) const
    {
        if (!bindings.is_open(worker, key, now))
        {
            return {};
        }
        const std::vector<fleet_worker*> workers{&worker};
        constexpr auto mode = search_mode::any_room;
        return {search.find({workers, mode}, owner, key, now), mode};
    }
};

} // namespace hemlockdeal::jobs
