// Bindings of tasks to workers with unanswered starts.
#include "jobs/start_binding.hpp"

#include <algorithm>
#include <chrono>

namespace hemlockdeal::jobs
{

namespace
{

bool is_long_running(const scheduler_state& state, const task_key& key)
{
    const auto* const owner = state.registry.find(key.job);
    return owner != nullptr && owner->has(key) &&
           owner->step_of(key).is_long_running;
}

// A long-running task waits no longer than this for a worker that responds. The
// worker refuses the start as long as its process lives.
constexpr duration max_wait_for_room = std::chrono::seconds(2);

bool has_waited_for_room(const scheduler_state& state, const task_key& key,
                         time_point now)
{
    const auto& occurrences = state.registry.find(key.job)->active();
    const auto occurrence = occurrences.find(key.occurrence);
    if (occurrence == occurrences.end())
    {
        return false;
    }
    const auto& since = occurrence->second.steps[key.step].waiting_since;
    return since && now - *since > max_wait_for_room;
}

// Long-running tasks have to run again within seconds. A worker that has left
// the list and is silent is taken for gone, because it would be listed again
// after a restart unless it is cut off, too.
bool binds_long_running(const scheduler_state& state,
                        const fleet_worker& worker, const task_key& key,
                        time_point now)
{
    if (worker.is_unlisted && !worker.has_malformed_entry)
    {
        return false;
    }
    if (!worker.is_reachable(now, state.options.contact_limit))
    {
        return true;
    }
    return !worker.entry.is_leaving &&
           !state.closed_zones.contains(worker.entry.zone) &&
           !has_waited_for_room(state, key, now);
}

} // namespace

std::optional<time_point> bound_until(const scheduler_state& state,
                                      const fleet_worker& worker,
                                      const task_key& key, time_point now)
{
    const auto* const order = worker.unanswered.find(key);
    return order == nullptr
               ? std::nullopt
               : bound_until(state, worker, key, order->latest_start, now);
}

std::optional<time_point> bound_until(const scheduler_state& state,
                                      const fleet_worker& worker,
                                      const task_key& key,
                                      time_point latest_start, time_point now)
{
    if (worker.has_ended)
    {
        return std::nullopt;
    }
    auto until = latest_start;
    if (is_long_running(state, key))
    {
        if (!binds_long_running(state, worker, key, now))
        {
            return std::nullopt;
        }
    }
    else if (worker.contact_at.value_or(time_point{}) < latest_start)
    {
        // No report shows yet whether the order was executed at the last
        // moment.
        until += longest_granted_lease(state.options);
    }
    return now < until ? std::optional(until) : std::nullopt;
}

fleet_worker* start_binding::worker_for(const task_key& key,
                                        time_point now) const
{
    auto* const owner = state_.registry.find(key.job);
    const auto& bound_to = owner->peek(key).bound_to;
    if (bound_to.empty())
    {
        return nullptr;
    }
    auto* const worker = state_.find_worker(bound_to);
    return worker != nullptr && bound_until(state_, *worker, key, now)
               ? worker
               : nullptr;
}

bool start_binding::is_open(const fleet_worker& worker, const task_key& key,
                            time_point now) const
{
    return worker.unanswered.may_order_again(key) &&
           eligibility_.is_open(worker, now) &&
           !worker.health.is_rejecting(now);
}

bool start_binding::is_void(const fleet_worker& worker, const task_key& key,
                            const unanswered_order& order, time_point now) const
{
    if (now < order.latest_start)
    {
        return false;
    }
    const auto* const owner = state_.registry.find(key.job);
    const bool is_over = owner == nullptr || !owner->has(key) ||
                         owner->peek(key).phase == task_phase::done;
    return is_over || !bound_until(state_, worker, key, now);
}

void start_binding::forget_void(time_point now)
{
    for (auto& entry : state_.fleet)
    {
        auto& worker = entry.second;
        if (!worker.unanswered.empty())
        {
            worker.unanswered.forget_if(
                [&](const task_key& key, const unanswered_order& order) {
                    return is_void(worker, key, order, now);
                });
        }
    }
}

} // namespace hemlockdeal::jobs
