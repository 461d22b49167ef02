// Where a task may run while a worker may still execute a start order for it
// that got no response.
#pragma once

#include <optional>

#include "jobs/scheduler_state.hpp"
#include "jobs/worker_eligibility.hpp"

namespace hemlockdeal::jobs
{

// Until when the task must not run on other workers than this one because of
// unanswered start orders; empty if it may run anywhere.
std::optional<time_point> bound_until(const scheduler_state& state,
                                      const fleet_worker& worker,
                                      const task_key& key, time_point now);

// The same for an order that can be executed until `latest_start`.
std::optional<time_point> bound_until(const scheduler_state& state,
                                      const fleet_worker& worker,
                                      const task_key& key,
                                      time_point latest_start, time_point now);

class start_binding
{
public:
    explicit start_binding(scheduler_state& state)
        : state_(state), eligibility_(state)
    {}

    // The worker to which the task is bound, or null if it may run anywhere.
    fleet_worker* worker_for(const task_key& key, time_point now) const;
    // True if a task that is bound to the worker may be ordered there.
    bool is_open(const fleet_worker& worker, const task_key& key,
                 time_point now) const;
    // Forgets the orders that can no longer be executed.
    void forget_void(time_point now);

private:
    // True if a run of the task can still follow from the order, or its task
    // has to wait for a report.
    bool is_void(const fleet_worker& worker, const task_key& key,
                 const unanswered_order& order, time_point now) const;

    scheduler_state& state_;
    worker_eligibility eligibility_;
};

} // namespace hemlockdeal::jobs
