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

    double total(const fleet_worker& worker, const live_job& owner,
                 const step& s, image_hash image, const task_record& task,
                 time_point now) const;
    // Increase of a fill task's duration by contention, and the harm that it
    // adds to the serving tasks on the worker. Harm that other fill tasks do
    // already doesn't count: one fill task with high pressure would otherwise
    // keep those without any pressure off the worker.
    double fill_cost(const fleet_worker& worker, const step& s,
                     image_hash image, time_point now) const;

    // Cost of taking a place that suits many other fill images. Compares
    // workers only: it does not make a task wait.
    double versatility_cost(const fleet_worker& worker, time_point now) const;

    // Cost of trying a task that may crash the worker: what would be lost with
    // it.
    static double trial_cost(const fleet_worker& worker);

private:
    double serving_cost(const fleet_worker& worker, image_hash image) const;

    const scheduler_state& state_;
};

} // namespace hemlockdeal::jobs
