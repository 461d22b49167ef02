// Finds the members of all gangs and compares them with the steps' counts.
#include "emulation/gang_clock.hpp"

#include <algorithm>

namespace hemlockdeal::emulation
{

namespace
{

// A member that waits this long for the others ends.
constexpr duration gang_wait = std::chrono::seconds(2);

} // namespace

void gang_clock::advance(std::map<worker_id, leased_worker>& workers,
                         time_point now)
{
    std::map<gang_key, std::vector<member>> gangs;
    for (auto& [id, worker] : workers)
    {
        for (const auto& [key, run] : worker.running())
        {
            if (run.task_step->is_gang)
            {
                gangs[{key.job, key.occurrence, key.step, run.run}].push_back(
                    {&worker, key});
            }
        }
    }
    for (const auto& [key, members] : gangs)
    {
        advance_gang(members, now);
    }
}

void gang_clock::advance_gang(const std::vector<member>& members,
                              time_point now)
{
    const auto run_of =
        [](const member& m) -> const leased_worker::active_run& {
        return m.worker->running().at(m.task);
    };
    const bool is_complete =
        members.size() == run_of(members.front()).task_step->task_count;
    const bool has_worked = std::ranges::any_of(members, [&](const auto& m) {
        return run_of(m).works_since.has_value();
    });
    for (const auto& m : members)
    {
        if (is_complete && !has_worked)
        {
            m.worker->begin_work(m.task, now);
        }
        else if (!is_complete && has_worked)
        {
            m.worker->end(m.task, jobs::run_end::broken, now);
        }
        else if (!is_complete && now - run_of(m).began_at > gang_wait)
        {
            m.worker->end(m.task, jobs::run_end::alone, now);
        }
    }
}

} // namespace hemlockdeal::emulation
