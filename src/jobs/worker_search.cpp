// Comparison of workers for a task. Fill tasks are kept off workers that run
// serving tasks, because they would raise the tail latency there. Serving tasks
// are packed onto few workers, so that enough workers without them remain for
// fill tasks.
#include "jobs/worker_search.hpp"

#include <limits>

#include "jobs/suspect_trial.hpp"

namespace hemlockdeal::jobs
{

namespace
{

// Above this cost a fill task stays waiting: it would make little progress and
// slow other tasks down.
constexpr double max_fill_cost = 1.3;
// Number of workers with room that are compared for one task, counted from the
// first suitable one; the next search starts after them. Comparing more
// improves the placement little, and the cost of the search grows with the
// fleet.
constexpr std::size_t max_workers_evaluated = 500;

} // namespace

fleet_worker* worker_search::find(const worker_list& list,
                                  const live_job& owner, const task_key& key,
                                  time_point now)
{
    const auto& workers = list.workers;
    const auto& s = owner.step_of(key);
    const auto& task = owner.peek(key);
    const bool has_waited = now - task.suspected_at >= max_wait_for_trial;
    const target t{owner,      key, s, task, to_image_hash(s.image),
                   has_waited, now};
    // With a preferred rack all workers are evaluated, since only few belong to
    // it. Otherwise workers are much alike and a sample is enough.
    const std::size_t max_evaluated =
        s.preferred_rack.empty() ? max_workers_evaluated : workers.size();
    if (workers.size() <= max_evaluated)
    {
        offset_ = 0;
    }
    fleet_worker* best = nullptr;
    double lowest_cost = std::numeric_limits<double>::max();
    std::size_t evaluated = 0;
    for (std::size_t i = 0; i < workers.size() && evaluated < max_evaluated;
         ++i)
    {
        auto* const worker = workers[offset_++ % workers.size()];
        if (!can_take(*worker, t, list.mode))
        {
            continue;
        }
        const auto cost = cost_of(*worker, t, list.mode);
        // Checked last because it compares strings.
        if (cost && *cost < lowest_cost &&
            eligibility_.may_run(*worker, owner, key, now))
        {
            lowest_cost = *cost;
            best = worker;
        }
        evaluated += best == nullptr ? 0 : 1;
    }
    return best;
}

bool worker_search::can_take(const fleet_worker& worker, const target& t,
                             search_mode mode) const
{
    if (!eligibility_.accepts_step(worker, t.definition, t.now))
    {
        return false;
    }
    return worker_eligibility::may_start_beside_trial(worker, t.task, mode,
                                                      t.has_waited, t.now);
}

std::optional<double> worker_search::cost_of(const fleet_worker& worker,
                                             const target& t,
                                             search_mode mode) const
{
    const bool fills = t.definition.fills;
    double cost =
        cost_.total(worker, t.owner, t.definition, t.image, t.task, t.now);
    if (fills && cost > max_fill_cost &&
        !accepts_preferred_cost(worker, t, mode))
    {
        return std::nullopt;
    }
    if (fills && state_.options.policy.spares_versatile_workers)
    {
        cost += cost_.versatility_cost(worker, t.now);
    }
    if (t.task.needs_trial())
    {
        cost += place_cost::trial_cost(worker);
    }
    return cost;
}

bool worker_search::accepts_preferred_cost(const fleet_worker& worker,
                                           const target& t,
                                           search_mode mode) const
{
    return mode != search_mode::normal &&
           cost_.fill_cost(worker, t.definition, t.image, t.now) <=
               max_fill_cost;
}

} // namespace hemlockdeal::jobs
