// Processes the responses of workers to starts and stops.
#pragma once

#include <cstdint>

#include "jobs/scheduler_state.hpp"
#include "jobs/worker_avoidance.hpp"

namespace hemlockdeal::jobs
{

class order_response_handler
{
public:
    explicit order_response_handler(scheduler_state& state) : state_(state) {}

    void on_start_answer(fleet_worker& worker, const task_key& key,
                         std::uint32_t run, const start_response& response,
                         time_point now);
    void on_stop_confirmed(fleet_worker& worker, const task_key& key,
                           std::uint32_t run, time_point now);

private:
    // Notices a restart by the clock in the response.
    void note_clock(fleet_worker& worker, const task_key& key,
                    const start_response& response, time_point now);

    scheduler_state& state_;
    worker_avoidance avoidance_{state_};
};

} // namespace hemlockdeal::jobs
