// Transitions of a step's tasks.
#include "jobs/step_record.hpp"

namespace hemlockdeal::jobs
{

void step_record::set_done(std::uint32_t index)
{
    if (const auto found = tasks.find(index); found != tasks.end())
    {
        const auto& record = found->second;
        if (record.projected_duration > duration{})
        {
            durations.push_back({record.worker, record.projected_duration});
        }
        if (durations.size() > max_durations)
        {
            durations.erase(durations.begin());
        }
        waiting -= record.phase == task_phase::waiting ? 1 : 0;
        tasks.erase(found);
    }
    else
    {
        --waiting;
    }
    if (is_done_.size() <= index)
    {
        is_done_.resize(index + 1);
    }
    is_done_[index] = true;
    ++done;
}

} // namespace hemlockdeal::jobs
