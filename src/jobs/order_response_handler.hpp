// Processes the responses of workers to starts and stops.
#pragma once

#include <cstdint>

#include "jobs/scheduler_state.hpp"
#include "jobs/start_repeater.hpp"
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

    // The worker refused an order for a run that an earlier order may still
    // start.
    void keep_in_doubt(fleet_worker& worker, run_record& run,
                       start_answer answer, time_point now);

    scheduler_state& state_;
    worker_avoidance avoidance_{state_};
    start_repeater repeater_{state_};
};

} // namespace hemlockdeal::jobs
