// Counts of runs and sums of processors over all workers.
#include "jobs/load_summary.hpp"

#include <algorithm>

namespace hemlockdeal::jobs
{

namespace
{

struct fleet_load
{
    std::size_t fills = 0;
    std::size_t suspended = 0;
    std::size_t serving = 0;
    std::size_t over_target = 0;
    // Processor millis.
    std::int64_t capacity = 0;
    std::int64_t reserved = 0;
    std::int64_t fill_demand = 0;
    std::int64_t fill_use = 0;
    std::size_t distrusted_workers = 0;
};

void add_run_load(const run_record& run, fleet_load& sum)
{
    sum.serving += run.is_serving() ? 1 : 0;
    sum.over_target += is_over_target(run) ? 1 : 0;
    if (run.fills)
    {
        ++sum.fills;
        sum.suspended += run.slowed_since ? 1 : 0;
        sum.fill_demand += run.size.processor_millis;
        sum.fill_use += std::max<std::int64_t>(run.measurement, 0);
    }
}

fleet_load load_of(const scheduler_state& state, time_point now)
{
    fleet_load sum;
    for (const auto& [id, worker] : state.fleet)
    {
        sum.capacity += worker.entry.capacity.processor_millis;
        sum.distrusted_workers += worker.health.is_distrusted(now) ? 1 : 0;
        sum.reserved += worker.room_used().processor_millis;
        for (const auto& [key, run] : worker.runs())
        {
            add_run_load(run, sum);
        }
    }
    return sum;
}

std::string processors(std::int64_t millis)
{
    constexpr std::int64_t millis_per_processor = 1000;
    return std::to_string(millis / millis_per_processor);
}

} // namespace

decision_event load_summary(const scheduler_state& state,
                            std::size_t tasks_without_room, time_point now)
{
    const auto load = load_of(state, now);
    return {"load",
            {{"workers", std::to_string(state.fleet.size())},
             {"distrusted_workers", std::to_string(load.distrusted_workers)},
             {"jobs", std::to_string(state.registry.live().size())},
             {"tasks_without_room", std::to_string(tasks_without_room)},
             {"fills", std::to_string(load.fills)},
             {"slowed", std::to_string(load.suspended)},
             {"serving", std::to_string(load.serving)},
             {"over_target", std::to_string(load.over_target)},
             {"processors", processors(load.capacity)},
             {"reserved", processors(load.reserved)},
             {"fill_demand", processors(load.fill_demand)},
             {"fill_use", processors(load.fill_use)}}};
}

} // namespace hemlockdeal::jobs
