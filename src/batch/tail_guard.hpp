// Protects services from their neighbours: throttles, evicts and resumes.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "batch/class_table.hpp"
#include "batch/eviction_budget.hpp"
#include "batch/interference_model.hpp"
#include "batch/placement_policy.hpp"
#include "batch/policy_options.hpp"
#include "batch/rate_series.hpp"
#include "batch/return_times.hpp"
#include "batch/shard_state.hpp"

namespace hemlockdeal
{

// The tail of a service is known only as a whole, not by worker. So the guard
// learns which neighbours raise it, and acts on the workers whose neighbours
// are predicted to raise it most.
class tail_guard
{
public:
    explicit tail_guard(const policy_options& options);

    // Learns from the tails, then throttles, evicts and resumes.
    void run(std::span<const service_tail> tails, shard_state& state,
             class_table& classes, interference_model& model,
             eviction_budget& budget, placement_output& output);

    // True when the class was evicted from the worker lately.
    bool is_barred(std::uint64_t worker, std::size_t kind,
                   time_point now) const;
    // True when `load` more of the class on the worker is predicted to raise
    // the tail of a service there too far.
    bool would_disturb(const worker_slot& worker, std::size_t kind, float load,
                       const interference_model& model) const;

    std::size_t throttled() const { return throttled_.size(); }

private:
    struct service_state
    {
        bool known = false;
        float tail = 0.0F;
        time_point learnt_at;
        // Logarithm of the tail that is predicted without neighbours.
        float undisturbed = 0.0F;
        rate_series series;
    };

    struct throttled_task
    {
        std::uint64_t worker = 0;
        time_point since;
        time_point hold_until;
        float effect = 0.0F;
        std::uint16_t kind = 0;
        bool seen = true;
    };

    // A batch task next to a service.
    struct neighbour
    {
        std::uint32_t worker = 0;
        std::uint32_t running = 0;
        float effect = 0.0F; // on the tail
    };

    void learn(std::span<const service_tail> tails, const shard_state& state,
               class_table& classes, interference_model& model);
    void match_throttled(const shard_state& state);
    float tail_at(const worker_slot& worker) const;
    std::vector<neighbour>
    worst_neighbours(const shard_state& state,
                     const interference_model& model) const;
    void throttle(const shard_state& state, const interference_model& model,
                  placement_output& output);
    void evict(shard_state& state, eviction_budget& budget,
               placement_output& output);
    void resume(const shard_state& state, placement_output& output);

    policy_options options_;
    std::array<service_state, class_table::limit> services_;
    std::unordered_map<std::uint64_t, throttled_task> throttled_; // by task key
    return_times evicted_;
    return_times throttle_times_;
    time_point acted_at_;
    time_point resumed_at_;
};

} // namespace hemlockdeal
