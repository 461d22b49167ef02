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
constexpr double secondary_weight = 0.2;
constexpr double neighbour_weight = 0.1;
constexpr double image_weight = 1.0;
} // namespace

double place_cost::fill_cost(const fleet_worker& worker, const step& s,
                             image_hash image, time_point now) const
{
    const auto& model = state_.interference;
    const auto size = static_cast<double>(s.size.processor_millis);
    const auto capacity = static_cast<double>(
        std::max<std::int64_t>(1, worker.entry.capacity.processor_millis));
    // Highest share of a serving task's slowdown headroom that the fill tasks
    // would use together.
    double pressure_cost = 0.0;
    for (const auto& serving : model.serving_pressures(worker, now))
    {
        const double weight =
            serving.weight + model.pressure(image, serving.image) * size;
        pressure_cost =
            std::max(pressure_cost, weight / capacity / serving.headroom);
    }
    const double unused = std::max(
        1.0, worker.expected_unused_processors(state_.options.serving_use));
    const double contention_cost =
        (static_cast<double>(worker.fill_demand()) + size) / unused;
    // The larger term determines how much longer the task takes.
    return std::max(pressure_cost, contention_cost) +
           secondary_weight * (pressure_cost + contention_cost);
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
        if (run.is_serving())
        {
            sum += run.image == image ? -image_weight : image_weight;
        }
    }
    return sum;
}

double place_cost::total(const fleet_worker& worker, const step& s,
                         image_hash image, const task_record& task,
                         time_point now) const
{
    double sum = slowness_weight * (worker.health.slowness_at(now) - 1.0);
    if (!s.preferred_rack.empty() && !worker.entry.has_label(s.preferred_rack))
    {
        sum += rack_weight * (state_.options.far_factor - 1.0);
    }
    if (task.failed_on == worker.entry.id)
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
