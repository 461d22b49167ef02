// See the header.
#include "batch/tail_guard.hpp"

#include <algorithm>
#include <cmath>

namespace hemlockdeal
{

namespace
{

// Effects on the logarithm of the tail below this are not worth a throttle.
constexpr float smallest_effect = 0.02F;
// Workers with less than this share of the largest effect are left alone.
constexpr float share_of_worst = 0.5F;

} // namespace

tail_guard::tail_guard(const policy_options& options)
    : options_(options),
      evicted_(options.first_return_time, options.longest_return_time,
               options.safeguards.grow_return_time),
      throttle_times_(options.first_throttle_time,
                      options.longest_throttle_time,
                      options.safeguards.grow_return_time)
{}

void tail_guard::run(std::span<const service_tail> tails, shard_state& state,
                     class_table& classes, interference_model& model,
                     eviction_budget& budget, placement_output& output)
{
    learn(tails, state, classes, model);
    match_throttled(state);
    evicted_.forget_old(state.now());
    throttle_times_.forget_old(state.now());
    if (state.now() - acted_at_ >= options_.guard_interval)
    {
        evict(state, budget, output);
        throttle(state, model, output);
    }
    if (state.now() - resumed_at_ >= options_.guard_interval)
    {
        resume(state, output);
    }
}

bool tail_guard::is_barred(std::uint64_t worker, std::size_t kind,
                           time_point now) const
{
    return evicted_.holds(worker, kind, now);
}

bool tail_guard::would_disturb(const worker_slot& worker, std::size_t kind,
                               float load,
                               const interference_model& model) const
{
    if (worker.services == 0)
    {
        return false;
    }
    const auto limit =
        std::log(static_cast<float>(options_.tail_predicted_at_most));
    for (std::size_t service = 0; service < services_.size(); ++service)
    {
        const service_state& s = services_[service];
        const float added = model.coefficient(service, kind) * load;
        if ((worker.services & (1U << service)) == 0 || !s.known ||
            added < smallest_effect)
        {
            continue;
        }
        const float predicted =
            s.undisturbed + added + model.slowdown(service, worker.loads);
        if (predicted > limit)
        {
            return true;
        }
    }
    return false;
}

void tail_guard::learn(std::span<const service_tail> tails,
                       const shard_state& state, class_table& classes,
                       interference_model& model)
{
    for (service_state& s : services_)
    {
        s.known = false;
    }
    for (const service_tail& t : tails)
    {
        const std::size_t kind = classes.index(t.work_class);
        service_state& s = services_[kind];
        s.known = true;
        s.tail = static_cast<float>(t.share_of_target);
        // The slowest instances make the tail, so the largest load of each
        // class next to any instance explains it best.
        class_loads worst{};
        bool hosted = false;
        for (const worker_slot& worker : state.workers())
        {
            if ((worker.services & (1U << kind)) != 0)
            {
                hosted = true;
                std::ranges::transform(
                    worst, worker.loads, worst.begin(),
                    [](float a, float b) { return std::max(a, b); });
            }
        }
        worst[kind] = 0.0F;
        if (!hosted || s.tail <= 0.0F ||
            state.now() - s.learnt_at < options_.guard_interval)
        {
            continue;
        }
        s.learnt_at = state.now();
        rate_difference difference;
        if (s.series.add(-std::log(s.tail), worst, difference) &&
            options_.safeguards.learn)
        {
            model.learn(kind, difference);
        }
        s.undisturbed = -s.series.undisturbed(model.coefficients(kind));
    }
}

void tail_guard::match_throttled(const shard_state& state)
{
    for (auto& [key, task] : throttled_)
    {
        // Commands take a moment to show up in the view.
        task.seen = state.now() - task.since < options_.evict_after;
    }
    for (const worker_slot& worker : state.workers())
    {
        for (std::size_t i = 0; i < worker.running.size(); ++i)
        {
            const running_slot& running = worker.running[i];
            if (worker.view->running[i].share >= 1.0 || !running.evictable)
            {
                continue;
            }
            // An earlier owner of the shard may have throttled it.
            const auto [found, is_new] = throttled_.try_emplace(
                running.key,
                throttled_task{worker.hash, state.now(), state.now(), 0.0F,
                               running.kind, true});
            found->second.seen = true;
        }
    }
    std::erase_if(throttled_,
                  [](const auto& entry) { return !entry.second.seen; });
}

float tail_guard::tail_at(const worker_slot& worker) const
{
    float tail = 0.0F;
    for (std::size_t service = 0; service < services_.size(); ++service)
    {
        if ((worker.services & (1U << service)) != 0 &&
            services_[service].known)
        {
            tail = std::max(tail, services_[service].tail);
        }
    }
    return tail;
}

std::vector<tail_guard::neighbour>
tail_guard::worst_neighbours(const shard_state& state,
                             const interference_model& model) const
{
    std::vector<neighbour> all;
    const std::span<const worker_slot> workers = state.workers();
    for (std::uint32_t w = 0; w < workers.size(); ++w)
    {
        const worker_slot& worker = workers[w];
        if (tail_at(worker) <= static_cast<float>(options_.tail_high))
        {
            continue;
        }
        neighbour worst{w, 0, 0.0F};
        for (std::uint32_t r = 0; r < worker.running.size(); ++r)
        {
            const running_slot& running = worker.running[r];
            if (!running.evictable || worker.view->running[r].share < 1.0 ||
                throttled_.contains(running.key))
            {
                continue;
            }
            for (std::size_t service = 0; service < services_.size(); ++service)
            {
                const service_state& s = services_[service];
                if ((worker.services & (1U << service)) == 0 || !s.known ||
                    s.tail <= static_cast<float>(options_.tail_high))
                {
                    continue;
                }
                const float effect =
                    model.suspected(service, running.kind) * running.load;
                if (effect > worst.effect)
                {
                    worst = {w, r, effect};
                }
            }
        }
        if (worst.effect >= smallest_effect)
        {
            all.push_back(worst);
        }
    }
    const auto largest = std::ranges::max_element(all, {}, &neighbour::effect);
    const float least =
        largest == all.end() ? 0.0F : largest->effect * share_of_worst;
    std::erase_if(all, [&](const neighbour& n) { return n.effect < least; });
    return all;
}

void tail_guard::throttle(const shard_state& state,
                          const interference_model& model,
                          placement_output& output)
{
    for (const neighbour& n : worst_neighbours(state, model))
    {
        const worker_slot& worker = state.worker(n.worker);
        const running_slot& running = worker.running[n.running];
        acted_at_ = state.now();
        throttled_[running.key] = {
            worker.hash,
            state.now(),
            throttle_times_.add(worker.hash, running.kind, state.now()),
            n.effect,
            running.kind,
            true};
        output.throttles.push_back(
            {n.worker, n.running, options_.throttled_share});
    }
}

void tail_guard::evict(shard_state& state, eviction_budget& budget,
                       placement_output& output)
{
    for (std::uint32_t w = 0; w < state.workers().size(); ++w)
    {
        const worker_slot& worker = state.worker(w);
        if (tail_at(worker) <= static_cast<float>(options_.tail_high))
        {
            continue;
        }
        std::uint32_t worst = 0;
        float effect = -1.0F;
        for (std::uint32_t r = 0; r < worker.running.size(); ++r)
        {
            const auto found = throttled_.find(worker.running[r].key);
            if (found != throttled_.end() && worker.running[r].evictable &&
                state.now() - found->second.since >= options_.evict_after &&
                found->second.effect > effect)
            {
                worst = r;
                effect = found->second.effect;
            }
        }
        if (effect < 0.0F ||
            !budget.allows(eviction_cause::interference, worker.hash, 1,
                           state.running_tasks()))
        {
            continue;
        }
        acted_at_ = state.now();
        budget.record(worker.hash, state.now());
        evicted_.add(worker.hash, worker.running[worst].kind, state.now());
        throttled_.erase(worker.running[worst].key);
        output.evictions.push_back({w, worst});
        state.mark_evicted(w, worst);
    }
}

void tail_guard::resume(const shard_state& state, placement_output& output)
{
    // One task a worker at a time, so that the tail shows the effect first.
    for (std::uint32_t w = 0; w < state.workers().size(); ++w)
    {
        const worker_slot& worker = state.worker(w);
        if (tail_at(worker) >= static_cast<float>(options_.tail_low))
        {
            continue;
        }
        for (std::uint32_t r = 0; r < worker.running.size(); ++r)
        {
            const auto found = throttled_.find(worker.running[r].key);
            if (found != throttled_.end() &&
                worker.view->running[r].share < 1.0 &&
                found->second.hold_until <= state.now())
            {
                throttled_.erase(found);
                output.throttles.push_back({w, r, 1.0});
                resumed_at_ = state.now();
                break;
            }
        }
    }
}

} // namespace hemlockdeal
