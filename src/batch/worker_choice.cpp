// See the header.
#include "batch/worker_choice.hpp"

#include <algorithm>
#include <cmath>

namespace hemlockdeal
{

namespace
{

// Interference costs throughput and tail latency; racks and fit only decide
// between workers that are about equal in that.
constexpr double rack_weight = 0.3;
constexpr double fit_weight = 0.1;
// A worker that fails everything frees up at once and would draw work until
// the successes elsewhere prove it bad.
constexpr double failure_weight = 0.2;
constexpr std::uint32_t failures_counted = 5;
// Slowing a service down counts more than slowing batch work down.
constexpr double service_weight = 3.0;

double load_of(const demand& d, const worker_slot& worker)
{
    return static_cast<double>(d.predicted.processors.value) /
           static_cast<double>(
               std::max<std::int64_t>(worker.view->size.processors.value, 1));
}

} // namespace

bool has_failed_on(const demand& d, const worker_id& worker)
{
    return std::ranges::find(d.task->failed_on, worker) !=
           d.task->failed_on.end();
}

std::optional<std::uint32_t> worker_choice::choose(const demand& d,
                                                   waiting_cause& cause) const
{
    std::optional<std::uint32_t> best;
    double least = 0.0;
    cause = waiting_cause::too_large;
    const bool may_repeat = may_repeat_on_failed(d);
    for (std::uint32_t w = 0; w < state_.workers().size(); ++w)
    {
        const worker_slot& worker = state_.worker(w);
        const waiting_cause found = obstacle(d, worker, may_repeat);
        if (found != waiting_cause::none)
        {
            cause = std::max(cause, found);
            continue;
        }
        const double c = cost(d, worker);
        if (!best || c < least)
        {
            least = c;
            best = w;
        }
    }
    if (best)
    {
        cause = waiting_cause::none;
    }
    return best;
}

waiting_cause worker_choice::obstacle(const demand& d,
                                      const worker_slot& worker,
                                      bool may_repeat) const
{
    if (!d.task->job->task_size.fits_in(worker.view->size))
    {
        return waiting_cause::too_large;
    }
    if (!worker.view->accepts_starts)
    {
        return waiting_cause::not_accepting;
    }
    if (worker.quarantined && options_.safeguards.avoid_quarantined)
    {
        return waiting_cause::quarantined;
    }
    if (!may_repeat && has_failed_on(d, worker.view->id))
    {
        return waiting_cause::failed_there;
    }
    const waiting_cause lack = lack_of_room(d, worker);
    if (lack != waiting_cause::none)
    {
        return lack;
    }
    if (d.service || d.urgent)
    {
        return waiting_cause::none;
    }
    if (guard_.is_barred(worker.hash, d.kind, state_.now()))
    {
        return waiting_cause::return_time;
    }
    return guard_.would_disturb(worker, d.kind,
                                static_cast<float>(load_of(d, worker)), model_)
               ? waiting_cause::interference
               : waiting_cause::none;
}

waiting_cause worker_choice::lack_of_room(const demand& d,
                                          const worker_slot& worker) const
{
    const resources& size = d.task->job->task_size;
    if (options_.safeguards.stay_within_free)
    {
        if (size.accelerators > worker.free.accelerators)
        {
            return waiting_cause::accelerators;
        }
        if (size.memory > worker.free.memory)
        {
            return waiting_cause::memory;
        }
        if (size.processors > worker.free.processors)
        {
            return waiting_cause::processors;
        }
    }
    // An empty worker takes any task, or a task that uses more than it
    // declares would never start.
    const bool overloaded = d.predicted.processors > worker.unused.processors ||
                            d.predicted.memory > worker.unused.memory;
    if (overloaded && !worker.running.empty() && !d.urgent)
    {
        return waiting_cause::measured_use;
    }
    const reservation* const own = reserved_.find(d.key);
    const bool has_place =
        own != nullptr && own->by_eviction && own->worker == worker.hash;
    if (!d.urgent && !has_place && !state_.leaves_headroom(worker, size))
    {
        return waiting_cause::headroom;
    }
    if (!reserved_.empty() && options_.safeguards.stay_within_free &&
        !size.fits_in(worker.free -
                      reserved_.for_others(worker.hash, d.key, d.urgent)))
    {
        return waiting_cause::reserved;
    }
    return waiting_cause::none;
}

bool worker_choice::may_repeat_on_failed(const demand& d) const
{
    return !d.task->failed_on.empty() &&
           std::ranges::none_of(
               state_.workers(), [&](const worker_slot& worker) {
                   return d.task->job->task_size.fits_in(worker.view->size) &&
                          !has_failed_on(d, worker.view->id);
               });
}

double worker_choice::added_tail(std::size_t service, const demand& d,
                                 const worker_slot& worker, double load) const
{
    // Limits the effect of coefficients that are learnt too high.
    constexpr double largest = 3.0;
    const double before = model_.slowdown(service, worker.loads);
    const double after = before + load * model_.suspected(service, d.kind);
    return std::exp(std::min(after, largest)) -
           std::exp(std::min(before, largest));
}

double worker_choice::cost(const demand& d, const worker_slot& worker) const
{
    const double load = load_of(d, worker);
    // What the task suffers, weighted by its own size as for its neighbours.
    double interference =
        load * static_cast<double>(model_.slowdown(d.kind, worker.loads));
    for (std::size_t kind = 0; kind < worker.loads.size(); ++kind)
    {
        const double present = worker.loads[kind];
        if (present > 0.0)
        {
            const bool service = (worker.services & (1U << kind)) != 0;
            interference +=
                service ? service_weight * added_tail(kind, d, worker, load)
                        : present * load * model_.coefficient(kind, d.kind);
        }
    }
    double rack = 0.0;
    if (d.task->job->tasks > 1)
    {
        rack = static_cast<double>(state_.tasks_in_rack(d.job, worker.rack)) /
               static_cast<double>(d.task->job->tasks);
    }
    // Batch work fills workers up, which keeps large gaps for large tasks.
    // Services, and work next to them, go where most is left by measured use,
    // because the slowest instance makes the tail.
    const double of_worker = static_cast<double>(
        std::max<std::int64_t>(worker.view->size.processors.value, 1));
    const double fit =
        d.service || worker.services != 0
            ? -static_cast<double>(worker.unused.processors.value) / of_worker
            : static_cast<double>(worker.free.processors.value) / of_worker;
    const double failures = std::min(worker.failures_in_row, failures_counted);
    return interference + rack_weight * rack + failure_weight * failures +
           fit_weight * fit;
}

} // namespace hemlockdeal
