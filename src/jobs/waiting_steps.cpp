// Collection and order of the steps whose tasks wait for a worker.
#include "jobs/waiting_steps.hpp"

#include <algorithm>

namespace hemlockdeal::jobs
{

namespace
{

// Appends the steps of one occurrence that are open and have waiting tasks.
void collect(const scheduler_state& state, live_job& owner,
             std::uint32_t occurrence, std::vector<step_record>& steps,
             time_point now, std::chrono::milliseconds unix_now,
             std::vector<waiting_step>& out)
{
    for (std::uint32_t s = 0; s < steps.size(); ++s)
    {
        auto& since = steps[s].waiting_since;
        if (steps[s].waiting == 0 || !owner.is_open(occurrence, s, unix_now))
        {
            since.reset();
            continue;
        }
        since = since.value_or(now);
        const auto position_of = state.options.overload_control
                                     ? overload_position_of
                                     : placing_position_of;
        const auto position = position_of(owner, occurrence, s, unix_now,
                                          now - *since, state.options.policy);
        out.push_back({&owner, occurrence, s, position});
    }
}

} // namespace

std::vector<waiting_step> waiting_steps(scheduler_state& state, time_point now,
                                        std::chrono::milliseconds unix_now)
{
    std::vector<waiting_step> out;
    for (auto& [id, owner] : state.registry.live())
    {
        owner->activate_due(unix_now);
        for (auto& [number, occurrence] : owner->active())
        {
            collect(state, *owner, number, occurrence.steps, now, unix_now,
                    out);
        }
    }
    std::ranges::sort(out, {}, &waiting_step::position);
    return out;
}

bool may_start(const task_record& task, time_point now)
{
    return task.phase == task_phase::waiting && !task.may_run_elsewhere &&
           task.not_before <= now;
}

} // namespace hemlockdeal::jobs
