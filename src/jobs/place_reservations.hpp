// Reservations of workers for tasks whose announcement is not stored yet.
#pragma once

#include <map>

#include "jobs/scheduler_state.hpp"
#include "jobs/worker_eligibility.hpp"

namespace hemlockdeal::jobs
{

// A worker that can take a task, and what the search asked of it.
struct found_place
{
    fleet_worker* worker = nullptr;
    search_mode mode = search_mode::normal;
};

// Keeps the capacity for a task that may not be ordered yet, so that no other
// task takes it and the search is not repeated.
class place_reservations
{
public:
    explicit place_reservations(scheduler_state& state)
        : state_(state), eligibility_(state)
    {}

    // Each reservation must be renewed by reserve() in the pass that begins.
    void begin_pass();
    // Drops the reservations that were not renewed in the pass; their tasks
    // search for a worker again.
    void end_pass();

    bool empty() const { return reservations_.empty(); }

    // The place reserved for the task, or none if it can no longer take the
    // task.
    found_place find(const live_job& owner, const task_key& key,
                     time_point now) const;
    // Reserves the place, also against other tasks of this pass.
    void reserve(live_job& owner, const task_key& key, const found_place& place,
                 time_point now);

private:
    struct reservation
    {
        worker_id worker;
        search_mode mode = search_mode::normal;
        // True while the reserved run is in the worker's ledger during a pass.
        bool is_applied = false;
    };

    scheduler_state& state_;
    worker_eligibility eligibility_;
    std::map<task_key, reservation> reservations_;
};

} // namespace hemlockdeal::jobs
