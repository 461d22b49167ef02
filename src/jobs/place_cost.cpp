// Placement cost of a task on a worker.
#include "jobs/place_cost.hpp"

#include <algorithm>

namespace hemlockdeal::jobs
{

namespace
{

// Weights of the cost terms, in units of the task's duration.
constexpr double rack_weight = 4.0;
constexpr double failure_weight = 3.0;
constexpr double slowness_weight = 1.0;
// A serving task above its target costs as much as the fill task gains.
constexpr double harm_weight = 1.0;
constexpr double versatility_weight = 0.8;
// Beside a serving image with this mean pressure few fill images can run.
constexpr double pressure_of_few_images = 4.0;
constexpr double headroom_weight = 0.2;
// Beyond this the tasks are far above their targets and a higher use says
// nothing.
constexpr double max_headroom_use = 3.0;
constexpr double neighbour_weight = 0.1;
constexpr double image_weight = 1.0;
constexpr double trial_weight = 1.0;
// A crash on a VM that has crashed before is weak evidence.
constexpr double unreliable_vm_cost = 20.0;

// Likelihood that a serving task is above its target, by the share of its
// headroom that fill tasks use: load and pressure are estimates.
double over_target_share(double headroom_use)
{
    constexpr double surely_below = 0.7;
    constexpr double surely_above = 1.3;
    return std::clamp((headroom_use - surely_below) /
                          (surely_above - surely_below),
                      0.0, 1.0);
}

} // namespace

double place_cost::fill_cost(const fleet_worker& worker, const step& s,
                             image_hash image, time_point now) const
{
    const auto& model = state_.interference;
    const auto size = static_cast<double>(s.size.processor_millis);
    const auto capacity = static_cast<double>(
        std::max<std::int64_t>(1, worker.entry.capacity.processor_millis));
    // Number of serving tasks that this fill task is expected to move above
    // their targets.
    double harmed = 0.0;
    double highest_use = 0.0;
    for (const auto& serving : model.serving_pressures(worker, now))
    {
        const double before = serving.weight / capacity / serving.headroom;
        const double added = model.pressure(image, serving.image) * size /
                             capacity / serving.headroom;
        harmed +=
            static_cast<double>(serving.tasks) *
            (over_target_share(before + added) - over_target_share(before));
        highest_use = std::max(highest_use, before + added);
    }
    const double unused = std::max(
        1.0, worker.expected_unused_processors(state_.options.serving_use));
    const double contention =
        (static_cast<double>(worker.fill_demand()) + size) / unused;
    const double harm =
        state_.options.policy.avoids_added_harm ? harm_weight * harmed : 0.0;
    return contention + harm +
           headroom_weight * std::min(highest_use, max_headroom_use);
}

double place_cost::versatility_cost(const fleet_worker& worker,
                                    time_point now) const
{
    const auto& model = state_.interference;
    double highest_mean = 0.0;
    for (const auto& serving : model.serving_pressures(worker, now))
    {
        highest_mean =
            std::max(highest_mean, model.mean_pressure(serving.image));
    }
    return versatility_weight *
           (1.0 - std::min(highest_mean / pressure_of_few_images, 1.0));
}

double place_cost::trial_cost(const fleet_worker& worker)
{
    return trial_weight * static_cast<double>(worker.runs().size()) +
           (worker.vm_crashed_at ? unreliable_vm_cost : 0.0);
}

double place_cost::serving_cost(const fleet_worker& worker,
                                image_hash image) const
{
    double sum = 0.0;
    for (const auto& [key, run] : worker.runs())
    {
        if (run.fills)
        {
            sum += state_.interference.pressure(run.image, image) *
                   neighbour_weight;
        }
        // Serving tasks of one image tolerate the same fill tasks. Packing them
        // together leaves other workers free for the fill tasks that would slow
        // them.
        if (run.is_serving() && state_.options.policy.packs_serving_images)
        {
            sum += run.image == image ? -image_weight : image_weight;
        }
    }
    return sum;
}

double place_cost::total(const fleet_worker& worker, const live_job& owner,
                         const step& s, image_hash image,
                         const task_record& task, time_point now) const
{
    double sum = state_.options.policy.weighs_slowness
                     ? slowness_weight * (worker.health.slowness_at(now) - 1.0)
                     : 0.0;
    if (!s.preferred_rack.empty() && !worker.entry.has_label(s.preferred_rack))
    {
        sum += rack_weight * (state_.options.far_factor - 1.0);
    }
    if (task.failed_on.contains(worker.entry.id) ||
        owner.is_rejected_by(worker.entry.id))
    {
        sum += failure_weight;
    }
    if (s.fills)
    {
        return sum + fill_cost(worker, s, image, now);
    }
    const auto& room = worker.entry.capacity;
    const auto demand = worker.room_used().processor_millis +
                        worker.fill_demand() + s.size.processor_millis;
    const double load =
        static_cast<double>(demand) /
        static_cast<double>(std::max<std::int64_t>(room.processor_millis, 1));
    if (s.tail_target > duration{})
    {
        return sum + serving_cost(worker, image) - load;
    }
    return sum + load;
}

} // namespace hemlockdeal::jobs
