// Implements the cost of a place.
#include "jobs/place_cost.hpp"

#include <algorithm>

namespace hemlockdeal::jobs
{

namespace
{

// Weights of the cost of a place, in parts of the task's duration.
constexpr double weight_of_rack = 4.0;
constexpr double weight_of_failure = 3.0;
constexpr double weight_of_slowness = 1.0;
constexpr double weight_of_second = 0.2;
constexpr double weight_of_neighbours = 0.1;
constexpr double weight_of_image = 1.0;
} // namespace

double place_cost::of_fill(const fleet_worker& worker, const step& s,
                           image_number image, time_point now) const
{
    const auto& model = state_.interference;
    const auto size = static_cast<double>(s.size.processor_millis);
    const auto capacity = static_cast<double>(
        std::max<std::int64_t>(1, worker.entry.capacity.processor_millis));
    // The part of the serving tasks' room for slowdown that the fill tasks
    // would take together.
    double pressed = 0.0;
    for (const auto& serving : model.pressed_images(worker, now))
    {
        const double weight =
            serving.weight + model.pressure(image, serving.image) * size;
        pressed = std::max(pressed, weight / capacity / serving.room);
    }
    const double unused =
        std::max(1.0, worker.likely_unused(state_.options.serving_use));
    const double crowded =
        (static_cast<double>(worker.fill_demand()) + size) / unused;
    // The larger of the two says how much longer the task takes.
    return std::max(pressed, crowded) + weight_of_second * (pressed + crowded);
}

double place_cost::of_serving(const fleet_worker& worker,
                              image_number image) const
{
    double sum = 0.0;
    for (const auto& [key, run] : worker.runs())
    {
        if (run.fills)
        {
            sum += state_.interference.pressure(run.image, image) *
                   weight_of_neighbours;
        }
        // Tasks of one image bear the same fill tasks: together they leave
        // other workers to fill tasks that press them.
        if (run.is_serving())
        {
            sum += run.image == image ? -weight_of_image : weight_of_image;
        }
    }
    return sum;
}

double place_cost::of(const fleet_worker& worker, const step& s,
                      image_number image, const task_record& task,
                      time_point now) const
{
    double sum = weight_of_slowness * (worker.health.slowness_at(now) - 1.0);
    if (!s.preferred_rack.empty() && !worker.entry.has_label(s.preferred_rack))
    {
        sum += weight_of_rack * (state_.options.far_factor - 1.0);
    }
    if (task.failed_on == worker.entry.id)
    {
        sum += weight_of_failure;
    }
    if (s.fills)
    {
        return sum + of_fill(worker, s, image, now);
    }
    const auto& room = worker.entry.capacity;
    const auto demand = worker.room_used().processor_millis +
                        worker.fill_demand() + s.size.processor_millis;
    const double load =
        static_cast<double>(demand) /
        static_cast<double>(std::max<std::int64_t>(room.processor_millis, 1));
    if (s.tail_target > duration{})
    {
        return sum + of_serving(worker, image) - load;
    }
    return sum + load;
}

} // namespace hemlockdeal::jobs
