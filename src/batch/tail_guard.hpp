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
#include "batch/placement_state.hpp"
#include "batch/policy_options.hpp"
#include "batch/rate_series.hpp"
#include "batch/return_times.hpp"

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
    void run(std::span<const service_tail> tails, placement_state& state,
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
        // Sums since the last sample was learnt from.
        time_point window_start;
        float window_rate = 0.0F;
        class_loads window_neighbours{};
        float window_count = 0.0F;
        time_point high_since;
        // Logarithm of the tail without neighbours in this shard. It follows
        // low values fast and high values slowly, because instances in other
        // shards only raise the tail.
        float undisturbed = 0.0F;
        rate_series series;
    };

    struct throttled_task
    {
        std::uint64_t worker = 0;
        time_point since;
        time_point hold_until;
        // Zero while the task is throttled.
        time_point resumed_at;
        float effect = 0.0F;
        float full_load = 0.0F; // zero when it was throttled by another owner
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

    void learn(std::span<const service_tail> tails,
               const placement_state& state, class_table& classes,
               interference_model& model);
    void learn_window(std::size_t kind, service_state& s,
                      interference_model& model);
    // Follows the shares in the view and corrects the loads by them.
    void match_throttled(placement_state& state);
    bool is_throttled(std::uint64_t key) const;
    float tail_at(const worker_slot& worker) const;
    // True when the tail is predicted to be high at this worker itself, or
    // when the model knows too little to tell.
    bool is_suspect(const worker_slot& worker,
                    const interference_model& model) const;
    bool is_high_for(duration length, const worker_slot& worker,
                     time_point now) const;
    // Logarithm by which the predicted tail is above what placing may cause.
    float predicted_excess(const worker_slot& worker,
                           const interference_model& model) const;
    // Batch tasks on the worker, worst first.
    std::vector<neighbour> neighbours_on(std::uint32_t w,
                                         const worker_slot& worker,
                                         const interference_model& model) const;
    std::vector<neighbour>
    worst_neighbours(const placement_state& state,
                     const interference_model& model) const;
    void throttle(const placement_state& state, const interference_model& model,
                  placement_output& output);
    void evict(placement_state& state, const interference_model& model,
               eviction_budget& budget, placement_output& output);
    void resume(const placement_state& state, placement_output& output);

    policy_options options_;
    std::array<service_state, class_table::limit> services_;
    std::unordered_map<std::uint64_t, throttled_task> throttled_; // by task key
    return_times evicted_;
    return_times throttle_times_;
    time_point acted_at_;
    time_point resumed_at_;
};

} // namespace hemlockdeal
