// Chooses workers for waiting tasks and orders their starts.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "jobs/place_cost.hpp"
#include "jobs/placing_order.hpp"
#include "jobs/scheduler_state.hpp"
#include "jobs/worker_eligibility.hpp"

namespace hemlockdeal::jobs
{

class task_placer
{
public:
    explicit task_placer(scheduler_state& state)
        : state_(state), eligibility_(state), cost_(state)
    {}

    // Orders a start for each task that may start and for which a worker has
    // room.
    void place(time_point now, std::chrono::milliseconds unix_now);

    // Stops fill tasks that have been slowed for longer than the limit if
    // another worker could run them at full pace; they resume there.
    void move_slowed(time_point now);

    // Number of tasks that could start but found no room in the last pass.
    std::size_t tasks_without_room() const { return without_room_; }

    // True if tasks with a reserved worker wait until their announcement is
    // stored.
    bool has_reservations() const { return has_reservations_; }

private:
    // A step of one occurrence with waiting tasks.
    struct candidate
    {
        live_job* owner = nullptr;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        placing_position position;
    };

    // Workers that are searched together for a place.
    struct worker_list
    {
        const std::vector<fleet_worker*>& workers;
        // The workers are avoided: a task may start there beside a suspect.
        bool is_last_resort = false;
    };

    std::vector<candidate> candidates(time_point now,
                                      std::chrono::milliseconds unix_now) const;
    void find_usable_workers(time_point now);

    bool may_start(const task_record& task) const;
    // Returns true if the stored set lists the task, so that its start may be
    // ordered. Otherwise announces the task and reserves its place on the
    // worker.
    bool prepare_start(live_job& owner, const task_key& key,
                       fleet_worker& worker, time_point now);
    // Lists of workers to search for the step, the preferred ones first.
    std::deque<worker_list> workers_to_search(const candidate& c,
                                              bool is_full_search,
                                              time_point now) const;
    void place_step(const candidate& c, time_point now);
    void place_gang(const candidate& c, time_point now);
    // The worker reserved for the task, or null if there is none or it can no
    // longer take the task.
    fleet_worker* reserved_worker(live_job& owner, const task_key& key,
                                  time_point now);
    // The worker with the lowest cost, or null if none can take the task.
    fleet_worker* choose(const worker_list& list, const live_job& owner,
                         const task_key& key, const task_record& task,
                         time_point now) const;
    void request_advice(const candidate& c, time_point now);
    bool should_move(const fleet_worker& worker, const task_key& key,
                     const run_record& run, time_point now);
    void order_start(live_job& owner, const task_key& key, fleet_worker& worker,
                     std::uint32_t run, time_point now);

    scheduler_state& state_;
    worker_eligibility eligibility_;
    place_cost cost_;
    // Workers that can accept tasks in this pass.
    std::vector<fleet_worker*> usable_workers_;
    // The subset that has freed capacity since the last pass.
    std::vector<fleet_worker*> freed_workers_;
    // Workers that could accept tasks, but have failed some, are slow, or run a
    // suspect.
    std::vector<fleet_worker*> avoided_workers_;
    struct reservation
    {
        worker_id worker;
        // True while the reserved run is in the worker's ledger during a pass.
        bool is_applied = false;
    };
    // Reserved workers of tasks whose announcement is not stored yet.
    std::map<task_key, reservation> reservations_;
    // Index at which the next search for a worker starts.
    mutable std::size_t search_offset_ = 0;
    bool has_reservations_ = false;
    std::size_t without_room_ = 0;
    time_point moves_checked_at_{};
};

} // namespace hemlockdeal::jobs
