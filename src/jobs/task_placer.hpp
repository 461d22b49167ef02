// Passes in which waiting tasks are placed on workers.
#pragma once

#include <chrono>
#include <cstddef>

#include "jobs/advice_requester.hpp"
#include "jobs/gang_placer.hpp"
#include "jobs/slowed_task_mover.hpp"
#include "jobs/step_placer.hpp"

namespace hemlockdeal::jobs
{

class task_placer
{
public:
    explicit task_placer(scheduler_state& state);
    task_placer(const task_placer&) = delete;
    task_placer& operator=(const task_placer&) = delete;

    // Orders a start for each task that may start and for which a worker has
    // room.
    void place(time_point now, std::chrono::milliseconds unix_now);

    // Stops fill tasks that have been slowed for longer than the limit if
    // another worker could run them at full pace; they resume there.
    void move_slowed(time_point now) { mover_.move(now); }

    // Number of tasks that could start but found no room in the last pass.
    std::size_t tasks_without_room() const { return without_room_; }

    // True if tasks with a reserved worker wait until their announcement is
    // stored.
    bool has_reservations() const { return !reservations_.empty(); }

private:
    void place_step(step_turn& turn, time_point now);

    scheduler_state& state_;
    candidate_workers candidates_;
    place_reservations reservations_;
    worker_search search_;
    task_starter starter_;
    quota_gate quota_;
    start_binding bindings_;
    advice_requester advice_;
    placement_context context_;
    step_placer step_placer_;
    gang_placer gang_placer_;
    slowed_task_mover mover_;
    std::size_t without_room_ = 0;
};

} // namespace hemlockdeal::jobs
