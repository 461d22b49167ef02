// Moves slowed fill tasks to workers that can run them at full pace.
#pragma once

#include <vector>

#include "jobs/worker_search.hpp"

namespace hemlockdeal::jobs
{

class slowed_task_mover
{
public:
    slowed_task_mover(scheduler_state& state,
                      const candidate_workers& candidates,
                      worker_search& search)
        : state_(state), candidates_(candidates), search_(search), cost_(state)
    {}

    // Stops fill tasks that have been slowed for longer than the limit if
    // another worker could run them at full pace; they resume there.
    void move(time_point now);

private:
    struct slowed_run
    {
        fleet_worker* worker = nullptr;
        task_key key;
    };

    std::vector<slowed_run> find_runs_to_move(time_point now);
    bool should_move(const fleet_worker& worker, const task_key& key,
                     const run_record& run, time_point now);

    scheduler_state& state_;
    const candidate_workers& candidates_;
    worker_search& search_;
    place_cost cost_;
    time_point checked_at_{};
};

} // namespace hemlockdeal::jobs
