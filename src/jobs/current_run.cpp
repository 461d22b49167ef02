#include "jobs/current_run.hpp"

namespace hemlockdeal::jobs
{

bool is_current_run(scheduler_state& state, const fleet_worker& worker,
                    const task_key& key, std::uint32_t run)
{
    auto* const owner = state.registry.find(key.job);
    if (owner == nullptr || !owner->has(key))
    {
        return false;
    }
    const auto& task = owner->peek(key);
    return task.phase == task_phase::placed && task.worker == worker.entry.id &&
           task.current_run == run;
}

} // namespace hemlockdeal::jobs
