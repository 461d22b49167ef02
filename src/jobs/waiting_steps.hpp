// Steps with waiting tasks, in the order in which they are placed.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
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

// Part of a step's tasks that are placed before the next step is due.
struct step_turn
{
    const waiting_step* step = nullptr;
    // The first task to be placed, and the number of tasks before it that still
    // wait.
    std::uint32_t first = 0;
    std::size_t waiting_before = 0;
    // Number of tasks for which a worker may be found.
    std::size_t max_tasks = std::numeric_limits<std::size_t>::max();
    // Set by the placer: the limit was reached before the last task.
    bool is_unfinished = false;
    // Some tasks wait until their announcement is stored.
    bool is_waiting_for_store = false;
};

// The steps of all jobs whose tasks may start, the first to be placed first.
// Notes since when each of them has been waiting.
std::vector<waiting_step> waiting_steps(scheduler_state& state, time_point now,
                                        std::chrono::milliseconds unix_now);

// True if the task is waiting, runs nowhere else and need not be delayed.
bool may_start(const task_record& task, time_point now);

} // namespace hemlockdeal::jobs
