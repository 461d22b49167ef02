// Placement policy that meets declared targets without weights: tasks start
// in the order of their slack within the quotas of teams, where measured use
// and predicted interference leave room.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "batch/class_table.hpp"
#include "batch/eviction_budget.hpp"
#include "batch/interference_model.hpp"
#include "batch/placement_policy.hpp"
#include "batch/placement_state.hpp"
#include "batch/policy_options.hpp"
#include "batch/reservations.hpp"
#include "batch/run_time_estimator.hpp"
#include "batch/tail_guard.hpp"
#include "batch/task_tracker.hpp"
#include "batch/waiting_reasons.hpp"
#include "batch/worker_health.hpp"

namespace hemlockdeal
{

class target_policy
{
public:
    target_policy() : target_policy(policy_options()) {}
    explicit target_policy(const policy_options& options);

    placement_output place(const placement_input& input);
    void observe(const policy_observation& observation, time_point now);
    std::string waiting_reason(const job_id& job) const;
    bool is_quarantined(const worker_id& worker) const;

    const run_time_estimator& estimator() const { return estimator_; }
    std::size_t throttled() const { return guard_.throttled(); }

private:
    // Order of the kinds of work; smaller goes first.
    enum class tier
    {
        urgent,
        service,
        batch
    };

    struct refused_demand
    {
        resources size;
        resources predicted;
        std::uint16_t kind = 0;
        waiting_cause cause = waiting_cause::none;
    };

    void collect(const placement_input& input, bool with_batch);
    static tier tier_of(const demand& d);
    // Returns why the task has to wait, or none when it was placed.
    waiting_cause try_place(const demand& d, placement_output& output);
    void place_on(std::uint32_t worker, const demand& d,
                  placement_output& output);
    // Makes room by evictions when they can help.
    void evict_for(const demand& d, waiting_cause cause,
                   placement_output& output);
    bool may_reclaim(const demand& d) const;
    void reserve_worker(const demand& d);
    bool try_probe(const demand& d, placement_output& output);

    void place_batch(placement_output& output);
    // The cause for which a task of the same kind that is not larger could
    // not be placed in this pass, or none.
    waiting_cause known_obstacle(const demand& d) const;

    policy_options options_;
    class_table classes_;
    run_time_estimator estimator_;
    interference_model model_;
    task_tracker tracker_;
    worker_health health_;
    eviction_budget budget_;
    tail_guard guard_;
    reservations reserved_;
    waiting_reasons reasons_;

    // Buffers of one pass, kept to avoid allocations.
    placement_state state_;
    std::vector<demand> demands_;
    std::vector<std::uint64_t> worker_hashes_;
    std::vector<const demand*> borrowing_;
    std::vector<refused_demand> refused_;
    std::size_t eviction_plans_ = 0;
    std::uint32_t starts_at_most_ = 0;
    bool probe_due_ = false;
    time_point batch_examined_at_;
};

static_assert(placement_policy<target_policy>);

} // namespace hemlockdeal
