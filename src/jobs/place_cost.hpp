// What it costs to run a task on a worker, compared with other workers.
#pragma once

#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

// Costs are in parts of the task's duration; lower is better.
class place_cost
{
public:
    explicit place_cost(const scheduler_state& state) : state_(state) {}

    double of(const fleet_worker& worker, const step& s, image_number image,
              const task_record& task, time_point now) const;
    // How much longer a fill task takes beside what runs there.
    double of_fill(const fleet_worker& worker, const step& s,
                   image_number image, time_point now) const;

private:
    double of_serving(const fleet_worker& worker, image_number image) const;

    const scheduler_state& state_;
};

} // namespace hemlockdeal::jobs
