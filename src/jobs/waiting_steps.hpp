// Steps with waiting tasks, in the order in which they are placed.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "jobs/placing_order.hpp"
#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

// A step of one occurrence with waiting tasks.
struct waiting_step
{
    live_job* owner = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    placing_position position;

    const jobs::step& definition() const
    {
        return owner->definition().steps[step];
    }
    step_record& record() const { return owner->step_state(occurrence, step); }
    task_key task(std::uint32_t index) const
    {
        return {owner->definition().id, occurrence, step, index};
    }
};

// The steps of all jobs whose tasks may start, the first to be placed first.
// Notes since when each of them has been waiting.
std::vector<waiting_step> waiting_steps(scheduler_state& state, time_point now,
                                        std::chrono::milliseconds unix_now);

// True if the task is waiting, runs nowhere else and need not be delayed.
bool may_start(const task_record& task, time_point now);

} // namespace hemlockdeal::jobs
