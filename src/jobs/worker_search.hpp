// Search for the worker on which a task costs least.
#pragma once

#include <cstddef>
#include <optional>

#include "jobs/candidate_workers.hpp"
#include "jobs/place_cost.hpp"
#include "jobs/worker_eligibility.hpp"

namespace hemlockdeal::jobs
{

class worker_search
{
public:
    explicit worker_search(const scheduler_state& state)
        : state_(state), eligibility_(state), cost_(state)
    {}

    // The worker of the list with the lowest cost, or null if none can take the
    // task.
    fleet_worker* find(const worker_list& list, const live_job& owner,
                       const task_key& key, time_point now);

private:
    // The task for which a worker is searched.
    struct target
    {
        const live_job& owner;
        const task_key& key;
        const step& definition;
        const task_record& task;
        image_hash image{};
        // A suspect that has waited for long.
        bool has_waited = false;
        time_point now;
    };

    // True if the worker has room for the task and no trial forbids it.
    bool can_take(const fleet_worker& worker, const target& t,
                  search_mode mode) const;
    // Empty if the task should rather wait than take the worker.
    std::optional<double> cost_of(const fleet_worker& worker, const target& t,
                                  search_mode mode) const;
    // True if only preferences for other workers, which the mode disregards,
    // make the worker too costly for a fill task.
    bool accepts_preferred_cost(const fleet_worker& worker, const target& t,
                                search_mode mode) const;

    const scheduler_state& state_;
    worker_eligibility eligibility_;
    place_cost cost_;
    // Index at which the next search starts.
    std::size_t offset_ = 0;
};

} // namespace hemlockdeal::jobs
