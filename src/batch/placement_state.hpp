// Working state of one placement pass: what each worker of the shard has
// left, and what runs on it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "batch/class_table.hpp"
#include "batch/placement_policy.hpp"
#include "batch/policy_options.hpp"
#include "batch/run_time_estimator.hpp"
#include "batch/task_tracker.hpp"
#include "batch/team_quotas.hpp"
#include "batch/worker_health.hpp"

namespace hemlockdeal
{

struct running_slot
{
    std::uint64_t job = 0;
    std::uint64_t key = 0;
    float load = 0.0F; // share of the worker's processors
    std::uint16_t kind = 0;
    std::uint16_t team = team_quotas::none;
    bool service = false;
    bool evictable = false;
};

struct worker_slot
{
    const worker_view* view = nullptr;
    std::uint64_t hash = 0;
    resources free;   // by the ledger, less what this pass placed
    resources unused; // by measured use, less what this pass placed
    class_loads loads{};
    std::uint32_t services = 0; // bit per class of a service
    std::uint16_t rack = 0;
    bool quarantined = false;
    std::uint32_t failures_in_row = 0;
    std::vector<running_slot> running; // as in the view
};

// A task that waits, with what the policy knows about it.
struct demand
{
    const waiting_task* task = nullptr;
    std::uint32_t waiting = 0; // index into the input
    std::uint64_t job = 0;
    std::uint64_t key = 0;
    resources predicted;
    duration slack{};
    std::uint16_t kind = 0;
    std::uint16_t team = team_quotas::none;
    bool urgent = false;
    bool service = false;
};

class placement_state
{
public:
    void reset(const placement_input& input, const policy_options& options,
               class_table& classes, const run_time_estimator& estimator,
               const worker_health& health);

    void place(std::size_t worker, const demand& d);
    // The capacity stays in use until the task has stopped.
    void mark_evicted(std::size_t worker, std::size_t running);

    // Replaces the load of a task whose last report is older than its throttle.
    void set_load(std::size_t worker, std::size_t running, float load);

    std::span<const worker_slot> workers() const { return workers_; }
    const worker_slot& worker(std::size_t index) const
    {
        return workers_[index];
    }
    team_quotas& quotas() { return quotas_; }
    const team_quotas& quotas() const { return quotas_; }
    std::size_t running_tasks() const { return running_tasks_; }
    time_point now() const { return now_; }
    std::size_t racks() const { return racks_.size(); }

    // True when the task leaves the headroom for urgent work free: the whole
    // amount in the shard, and a piece for one urgent task on one worker.
    bool leaves_headroom(const worker_slot& worker,
                         const resources& size) const;
    // No worker has more of any resource free.
    const resources& largest_free() const { return largest_free_; }
    // Tasks of the job in the rack.
    std::size_t tasks_in_rack(std::uint64_t job, std::uint16_t rack) const;

private:
    struct job_in_rack
    {
        std::uint64_t job = 0;
        std::uint16_t rack = 0;
        friend auto operator<=>(const job_in_rack&,
                                const job_in_rack&) = default;
    };

    void add_worker(const worker_view& view, class_table& classes,
                    const run_time_estimator& estimator, worker_slot& slot);
    void find_largest_free();
    bool has_piece(const resources& free) const
    {
        return piece_.processors <= free.processors &&
               piece_.memory <= free.memory;
    }
    bool is_open(const worker_slot& slot) const
    {
        return slot.view->accepts_starts && !slot.quarantined;
    }

    std::vector<worker_slot> workers_;
    team_quotas quotas_;
    std::vector<rack_id> racks_;
    std::vector<job_in_rack> job_racks_; // sorted
    std::vector<job_in_rack> placed_racks_;
    resources headroom_;
    resources open_free_;
    resources capacity_;
    resources largest_free_;
    // Room that one worker keeps for an urgent task.
    resources piece_;
    std::size_t workers_with_piece_ = 0;
    const worker_slot* most_free_ = nullptr;
    std::size_t running_tasks_ = 0;
    time_point now_;
};

} // namespace hemlockdeal
