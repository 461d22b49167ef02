// See the header.
#include "batch/tail_guard.hpp"

#include <algorithm>
#include <cmath>
#include <functional>

namespace hemlockdeal
{

namespace
{

// Classes below this coefficient may always be placed next to the service.
constexpr float harmless_coefficient = 0.1F;
// Throttles on one worker in one interval.
constexpr std::size_t throttles_at_most = 4;
// A worker where the tail is predicted below this share of the target is not
// to blame for a high tail of the service.
constexpr float suspect_tail = 0.8F;
constexpr std::uint32_t enough_samples = 20;
// Tails and usage reports lag by different times; means over a window hide
// most of the difference.
constexpr duration learning_window = std::chrono::seconds(6);
// The next report shows the use at full speed.
constexpr duration report_lag = std::chrono::seconds(6);
// A tail that stays high for this long proves the prediction wrong.
constexpr duration high_for_long = std::chrono::seconds(20);
// Evictions lose work, so the proof has to be stronger.
constexpr duration high_for_eviction = std::chrono::minutes(1);
constexpr float follow_low = 0.2F;
constexpr float follow_high = 0.01F;

} // namespace

tail_guard::tail_guard(const policy_options& options)
    : options_(options),
      evicted_(options.first_return_time, options.longest_return_time,
               options.safeguards.grow_return_time),
      throttle_times_(options.first_throttle_time,
                      options.longest_throttle_time,
                      options.safeguards.grow_return_time)
{}

void tail_guard::run(std::span<const service_tail> tails,
                     placement_state& state, class_table& classes,
                     interference_model& model, eviction_budget& budget,
                     placement_output& output)
{
    match_throttled(state);
    learn(tails, state, classes, model);
    evicted_.forget_old(state.now());
    throttle_times_.forget_old(state.now());
    if (state.now() - acted_at_ >= options_.guard_interval)
    {
        evict(state, model, budget, output);
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
            model.coefficient(service, kind) < harmless_coefficient)
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
                       const placement_state& state, class_table& classes,
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
        const auto high = static_cast<float>(options_.tail_high);
        const auto tail = static_cast<float>(t.share_of_target);
        if (tail > high && s.tail <= high)
        {
            s.high_since = state.now();
        }
        s.tail = tail;
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
        if (!hosted || s.tail <= 0.0F)
        {
            continue;
        }
        s.window_rate -= std::log(s.tail);
        s.window_count += 1.0F;
        std::ranges::transform(s.window_neighbours, worst,
                               s.window_neighbours.begin(), std::plus());
        if (state.now() - s.window_start >= learning_window)
        {
            s.window_start = state.now();
            if (options_.safeguards.learn)
            {
                learn_window(kind, s, model);
            }
            s.window_rate = 0.0F;
            s.window_count = 0.0F;
            s.window_neighbours = {};
        }
    }
}

void tail_guard::learn_window(std::size_t kind, service_state& s,
                              interference_model& model)
{
    const float rate = s.window_rate / s.window_count;
    for (float& load : s.window_neighbours)
    {
        load /= s.window_count;
    }
    rate_difference difference;
    if (s.series.add(rate, s.window_neighbours, difference))
    {
        model.learn(kind, difference);
    }
    const float undisturbed = -rate - model.slowdown(kind, s.window_neighbours);
    const float change = undisturbed - s.undisturbed;
    s.undisturbed += change * (s.series.samples() <= 1 ? 1.0F
                               : change < 0.0F         ? follow_low
                                                       : follow_high);
}

void tail_guard::match_throttled(placement_state& state)
{
    const time_point now = state.now();
    for (auto& [key, task] : throttled_)
    {
        // Commands take a moment to show up in the view.
        task.seen = task.resumed_at == time_point() &&
                    now - task.since < options_.evict_after;
    }
    for (std::size_t w = 0; w < state.workers().size(); ++w)
    {
        const worker_slot& worker = state.worker(w);
        for (std::size_t i = 0; i < worker.running.size(); ++i)
        {
            const running_slot& running = worker.running[i];
            const double share = worker.view->running[i].share;
            auto found = throttled_.find(running.key);
            if (found == throttled_.end())
            {
                if (share >= 1.0 || !running.evictable)
                {
                    continue;
                }
                // An earlier owner of the shard throttled it.
                found = throttled_.emplace(running.key, throttled_task()).first;
                found->second.worker = worker.hash;
                found->second.since = now;
                found->second.hold_until = now;
                found->second.kind = running.kind;
            }
            throttled_task& task = found->second;
            const bool resumed = task.resumed_at != time_point();
            task.seen =
                task.seen ||
                (resumed ? now - task.resumed_at < report_lag : share < 1.0);
            if (task.seen && task.full_load > 0.0F)
            {
                state.set_load(w, i,
                               task.full_load * static_cast<float>(share));
            }
        }
    }
    std::erase_if(throttled_,
                  [](const auto& entry) { return !entry.second.seen; });
}

bool tail_guard::is_throttled(std::uint64_t key) const
{
    const auto found = throttled_.find(key);
    return found != throttled_.end() &&
           found->second.resumed_at == time_point();
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

bool tail_guard::is_suspect(const worker_slot& worker,
                            const interference_model& model) const
{
    for (std::size_t service = 0; service < services_.size(); ++service)
    {
        const service_state& s = services_[service];
        if ((worker.services & (1U << service)) == 0 || !s.known ||
            s.tail <= static_cast<float>(options_.tail_high))
        {
            continue;
        }
        if (s.series.samples() < enough_samples ||
            s.undisturbed + model.slowdown(service, worker.loads) >
                std::log(suspect_tail))
        {
            return true;
        }
    }
    return false;
}

bool tail_guard::is_high_for(duration length, const worker_slot& worker,
                             time_point now) const
{
    for (std::size_t service = 0; service < services_.size(); ++service)
    {
        const service_state& s = services_[service];
        if ((worker.services & (1U << service)) != 0 && s.known &&
            s.tail > static_cast<float>(options_.tail_high) &&
            now - s.high_since >= length)
        {
            return true;
        }
    }
    return false;
}

std::vector<tail_guard::neighbour>
tail_guard::neighbours_on(std::uint32_t w, const worker_slot& worker,
                          const interference_model& model) const
{
    std::vector<neighbour> all;
    for (std::uint32_t r = 0; r < worker.running.size(); ++r)
    {
        const running_slot& running = worker.running[r];
        if (!running.evictable || worker.view->running[r].share < 1.0 ||
            is_throttled(running.key))
        {
            continue;
        }
        float effect = 0.0F;
        for (std::size_t service = 0; service < services_.size(); ++service)
        {
            const service_state& s = services_[service];
            if ((worker.services & (1U << service)) != 0 && s.known &&
                s.tail > static_cast<float>(options_.tail_high))
            {
                effect =
                    std::max(effect, model.suspected(service, running.kind) *
                                         running.load);
            }
        }
        if (effect > 0.0F)
        {
            all.push_back({w, r, effect});
        }
    }
    std::ranges::sort(all, std::ranges::greater(), &neighbour::effect);
    return all;
}

std::vector<tail_guard::neighbour>
tail_guard::worst_neighbours(const placement_state& state,
                             const interference_model& model) const
{
    std::vector<neighbour> worst;
    const std::span<const worker_slot> workers = state.workers();
    for (std::uint32_t w = 0; w < workers.size(); ++w)
    {
        const worker_slot& worker = workers[w];
        if (tail_at(worker) <= static_cast<float>(options_.tail_high) ||
            !(is_suspect(worker, model) ||
              is_high_for(high_for_long, worker, state.now())))
        {
            continue;
        }
        // As many as the prediction needs, at least one. The bound limits
        // what one wrong prediction does.
        float excess = predicted_excess(worker, model);
        std::size_t count = 0;
        for (const neighbour& n : neighbours_on(w, worker, model))
        {
            if (count > 0 && (excess <= 0.0F || count >= throttles_at_most))
            {
                break;
            }
            worst.push_back(n);
            excess -=
                n.effect * static_cast<float>(1.0 - options_.throttled_share);
            ++count;
        }
    }
    return worst;
}

float tail_guard::predicted_excess(const worker_slot& worker,
                                   const interference_model& model) const
{
    const auto limit =
        std::log(static_cast<float>(options_.tail_predicted_at_most));
    float excess = 0.0F;
    for (std::size_t service = 0; service < services_.size(); ++service)
    {
        const service_state& s = services_[service];
        if ((worker.services & (1U << service)) != 0 && s.known &&
            s.series.samples() >= enough_samples)
        {
            excess =
                std::max(excess, s.undisturbed - limit +
                                     model.slowdown(service, worker.loads));
        }
    }
    return excess;
}

void tail_guard::throttle(const placement_state& state,
                          const interference_model& model,
                          placement_output& output)
{
    for (const neighbour& n : worst_neighbours(state, model))
    {
        const worker_slot& worker = state.worker(n.worker);
        const running_slot& running = worker.running[n.running];
        acted_at_ = state.now();
        throttled_task& task = throttled_[running.key];
        task.full_load = running.load;
        task.worker = worker.hash;
        task.since = state.now();
        task.hold_until =
            throttle_times_.add(worker.hash, running.kind, state.now());
        task.resumed_at = time_point();
        task.effect = n.effect;
        task.kind = running.kind;
        output.throttles.push_back(
            {n.worker, n.running, options_.throttled_share});
    }
}

void tail_guard::evict(placement_state& state, const interference_model& model,
                       eviction_budget& budget, placement_output& output)
{
    for (std::uint32_t w = 0; w < state.workers().size(); ++w)
    {
        const worker_slot& worker = state.worker(w);
        if (tail_at(worker) <= static_cast<float>(options_.tail_high) ||
            !(is_suspect(worker, model) ||
              is_high_for(high_for_eviction, worker, state.now())))
        {
            continue;
        }
        std::uint32_t worst = 0;
        float effect = -1.0F;
        for (std::uint32_t r = 0; r < worker.running.size(); ++r)
        {
            const auto found = throttled_.find(worker.running[r].key);
            if (found != throttled_.end() && worker.running[r].evictable &&
                found->second.resumed_at == time_point() &&
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

void tail_guard::resume(const placement_state& state, placement_output& output)
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
                found->second.resumed_at = state.now();
                output.throttles.push_back({w, r, 1.0});
                resumed_at_ = state.now();
                break;
            }
        }
    }
}

} // namespace hemlockdeal
