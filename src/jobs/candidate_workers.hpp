// Workers among which a place for a waiting task is searched.
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "jobs/search_mode.hpp"
#include "jobs/waiting_steps.hpp"
#include "jobs/worker_eligibility.hpp"

namespace hemlockdeal::jobs
{

// Workers that are searched together for a place.
struct worker_list
{
    const std::vector<fleet_worker*>& workers;
    search_mode mode = search_mode::normal;
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

    // All workers of the lists that a full search for the step covers.
    std::vector<fleet_worker*> all_for(const waiting_step& step,
                                       time_point now) const;

    // Lists of workers to search for the step, the preferred ones first. A
    // search that is not full covers only workers that have freed capacity.
    std::deque<worker_list> lists_for(const waiting_step& step,
                                      bool is_full_search,
                                      time_point now) const;

private:
    // True if less than half of the processors of the service is in use.
    bool is_lightly_used(const service_id& service) const;
    // True if the step may take any worker that does not reject starts.
    bool may_use_any_room(const waiting_step& step, time_point now) const;

    scheduler_state& state_;
    worker_eligibility eligibility_;
    std::vector<fleet_worker*> usable_;
    // The subset that has freed capacity since the last update.
    std::vector<fleet_worker*> freed_;
    // Workers that could accept tasks, but have failed some or are slow.
    std::vector<fleet_worker*> distrusted_;
    // Those on which a suspect is tried.
    std::vector<fleet_worker*> on_trial_;
    // Both, and those that have rejected a start a moment ago.
    std::vector<fleet_worker*> avoided_;
    // Results since the last update.
    mutable std::map<service_id, bool> is_lightly_used_;
};

} // namespace hemlockdeal::jobs
