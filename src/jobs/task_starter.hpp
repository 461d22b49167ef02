// Announces tasks in the store and orders their starts.
#pragma once

#include <cstdint>

#include "jobs/place_reservations.hpp"
#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

class task_starter
{
public:
    task_starter(scheduler_state& state, place_reservations& reservations)
        : state_(state), reservations_(reservations)
    {}

    // Returns true if the stored set lists the task, so that its start may be
    // ordered. Otherwise announces the task and reserves its place on the
    // worker.
    bool prepare(live_job& owner, const task_key& key, const found_place& place,
                 time_point now);
    // Orders the start of the task; prepare() must have returned true.
    void order(live_job& owner, const task_key& key, fleet_worker& worker,
               std::uint32_t run, time_point now);

private:
    void log_start(const live_job& owner, const task_key& key,
                   const fleet_worker& worker, const run_record& record);

    scheduler_state& state_;
    place_reservations& reservations_;
};

} // namespace hemlockdeal::jobs
