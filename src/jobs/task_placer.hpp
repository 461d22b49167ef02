// Chooses workers for waiting tasks and orders their starts.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "jobs/place_cost.hpp"
#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

class task_placer
{
public:
    explicit task_placer(scheduler_state& state) : state_(state), cost_(state)
    {}

    // Orders a start for each task that may start and has room somewhere.
    void place(time_point now, std::chrono::milliseconds unix_now);

    // Stops fill tasks that are slowed for long where another worker has a
    // better place; they resume there.
    void move_slowed(time_point now);

    // Tasks that may start and found no room in the last pass.
    std::size_t tasks_without_room() const { return without_room_; }

    // Tasks with a place wait until the store names them.
    bool has_reservations() const { return has_reservations_; }

private:
    // A step of one occurrence with waiting tasks.
    struct candidate
    {
        live_job* owner = nullptr;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        // Lower goes first.
        int group = 0;
        std::chrono::milliseconds latest_start{};
    };

    std::vector<candidate> candidates(std::chrono::milliseconds unix_now) const;
    candidate make_candidate(live_job& owner, std::uint32_t occurrence,
                             std::uint32_t step,
                             std::chrono::milliseconds unix_now) const;
    void find_usable_workers(time_point now);
    bool is_usable(const fleet_worker& worker, time_point now) const;

    bool may_start(const task_record& task) const;
    // True if the store names the task as one that may be ordered. Has it
    // named otherwise, and keeps its place on the worker.
    bool is_stored_first(live_job& owner, const task_key& key,
                         fleet_worker& worker, time_point now);
    void place_step(const candidate& c, time_point now);
    void place_gang(const candidate& c, time_point now);
    // The place that the task kept, if it is still good, or null.
    fleet_worker* reserved_worker(const live_job& owner, const task_key& key,
                                  time_point now);
    // The best of these workers, or null.
    fleet_worker* choose(const std::vector<fleet_worker*>& workers,
                         const live_job& owner, const task_key& key,
                         const task_record& task, time_point now) const;
    void ask_for_advice(const candidate& c, time_point now);
    bool is_eligible(const fleet_worker& worker, const live_job& owner,
                     const task_key& key, time_point now) const;
    // As above, but for the advice that the queue may need.
    bool fits(const fleet_worker& worker, const live_job& owner,
              const task_key& key) const;
    bool has_room(const fleet_worker& worker, const step& s) const;
    // True if the step's tasks may be added to the worker now.
    bool takes(const fleet_worker& worker, const step& s, time_point now) const;
    bool should_move(const fleet_worker& worker, const task_key& key,
                     const run_record& run, time_point now);
    void order_start(live_job& owner, const task_key& key, fleet_worker& worker,
                     std::uint32_t run, time_point now);

    scheduler_state& state_;
    place_cost cost_;
    // Workers that take tasks in this pass.
    std::vector<fleet_worker*> usable_;
    // Those of them that have gained room since the last pass.
    std::vector<fleet_worker*> roomier_;
    struct reservation
    {
        worker_id worker;
        // In the ledger of the worker during this pass.
        bool is_held = false;
    };
    // Places of tasks that wait until the store names them.
    std::map<task_key, reservation> reservations_;
    // Where the next search begins.
    mutable std::size_t next_place_ = 0;
    bool has_reservations_ = false;
    std::size_t without_room_ = 0;
    time_point moves_checked_at_{};
};

} // namespace hemlockdeal::jobs
