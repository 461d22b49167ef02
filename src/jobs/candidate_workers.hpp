// Workers among which a place for a waiting task is searched.
#pragma once

#include <deque>
#include <vector>

#include "jobs/waiting_steps.hpp"
#include "jobs/worker_eligibility.hpp"

namespace hemlockdeal::jobs
{

// Workers that are searched together for a place.
struct worker_list
{
    const std::vector<fleet_worker*>& workers;
    // The workers are avoided: a task may start there beside a suspect.
    bool is_last_resort = false;
};

class candidate_workers
{
public:
    explicit candidate_workers(scheduler_state& state)
        : state_(state), eligibility_(state)
    {}

    // Finds the workers that can accept tasks at present.
    void update(time_point now);

    // Workers that can accept tasks.
    worker_list usable() const { return {usable_}; }

    // Lists of workers to search for the step, the preferred ones first. A
    // search that is not full covers only workers that have freed capacity.
    std::deque<worker_list> lists_for(const waiting_step& step,
                                      bool is_full_search,
                                      time_point now) const;

private:
    scheduler_state& state_;
    worker_eligibility eligibility_;
    std::vector<fleet_worker*> usable_;
    // The subset that has freed capacity since the last update.
    std::vector<fleet_worker*> freed_;
    // Workers that could accept tasks, but have failed some, are slow, or run a
    // suspect.
    std::vector<fleet_worker*> avoided_;
};

} // namespace hemlockdeal::jobs
