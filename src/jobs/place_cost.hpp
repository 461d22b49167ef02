// Cost of placing a task on a worker, for comparing workers.
#pragma once

#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

// Costs are in units of the task's duration; lower is better.
class place_cost
{
public:
    explicit place_cost(const scheduler_state& state) : state_(state) {}

    double total(const fleet_worker& worker, const step& s, image_hash image,
                 const task_record& task, time_point now) const;
    // Relative increase of a fill task's duration that the other runs on the
    // worker cause.
    double fill_cost(const fleet_worker& worker, const step& s,
                     image_hash image, time_point now) const;

private:
    double serving_cost(const fleet_worker& worker, image_hash image) const;

    const scheduler_state& state_;
};

} // namespace hemlockdeal::jobs
