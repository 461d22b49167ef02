// Groups and ranks of waiting steps.
#include "jobs/placing_order.hpp"

#include "overload/overload.hpp"

namespace hemlockdeal::jobs
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace
{

placing_position in_group(priority_group group, milliseconds rank)
{
    placing_position out;
    out.group = group;
    out.rank = rank;
    return out;
}

// When the job or its occurrence began to count, and how long it should take.
struct job_objective
{
    milliseconds begin{};
    milliseconds target{};
};

job_objective objective_of(const live_job& owner, std::uint32_t occurrence)
{
    const auto& definition = owner.definition();
    return {definition.repeats.count > 0 ? owner.due(occurrence)
                                         : definition.accepted_at,
            duration_cast<milliseconds>(owner.critical_path() *
                                            definition.policy.stretch +
                                        definition.policy.slack)};
}

double remaining_core_seconds(const live_job& owner, std::uint32_t occurrence)
{
    constexpr double millis_per_core = 1000.0;
    const auto& steps = owner.definition().steps;
    double sum = 0.0;
    for (std::uint32_t s = 0; s < steps.size(); ++s)
    {
        const auto left =
            steps[s].task_count - owner.step_state(occurrence, s).done;
        const auto cores = static_cast<double>(steps[s].size.processor_millis) /
                           millis_per_core;
        sum += left * cores *
               std::chrono::duration<double>(steps[s].estimate).count();
    }
    return sum;
}

} // namespace

placing_position placing_position_of(const live_job& owner,
                                     std::uint32_t occurrence,
                                     std::uint32_t step, milliseconds unix_now,
                                     duration waited,
                                     const policy_switches& policy)
{
    const auto& waiting = owner.definition().steps[step];
    const auto [begin, target] = objective_of(owner, occurrence);
    const auto remaining =
        duration_cast<milliseconds>(owner.critical_path_from(step));
    const auto latest_start = begin + target - remaining;
    const auto rank =
        waiting.fills && policy.orders_fills_by_path ? remaining : latest_start;
    if (waiting.is_long_running)
    {
        return in_group(waited > max_long_running_wait
                            ? priority_group::delayed_long_running
                            : priority_group::long_running,
                        rank);
    }
    if (!waiting.fills && unix_now <= latest_start)
    {
        return in_group(priority_group::urgent, rank);
    }
    if (unix_now > begin + starvation_factor * target)
    {
        return in_group(priority_group::on_time, milliseconds::min());
    }
    if (unix_now > begin + expiry_factor * target - remaining)
    {
        return in_group(priority_group::expired, rank);
    }
    if (unix_now > latest_start)
    {
        return in_group(priority_group::late, rank);
    }
    return in_group(priority_group::on_time, rank);
}

placing_position overload_position_of(const live_job& owner,
                                      std::uint32_t occurrence,
                                      std::uint32_t step, milliseconds unix_now,
                                      duration waited,
                                      const policy_switches& policy)
{
    auto out =
        placing_position_of(owner, occurrence, step, unix_now, waited, policy);
    const auto [begin, target] = objective_of(owner, occurrence);
    const bool is_starving = unix_now > begin + starvation_factor * target;
    const auto& waiting = owner.definition().steps[step];
    if (out.group == priority_group::delayed_long_running ||
        (is_starving && !waiting.is_long_running))
    {
        return out;
    }
    out.load_class = out.group == priority_group::expired
                         ? overload_class::useless
                         : overload_class::useful;
    out.priority = owner.definition().policy.priority;
    if (waiting.is_long_running || waiting.fills)
    {
        return out;
    }
    const auto remaining =
        duration_cast<milliseconds>(owner.critical_path_from(step));
    overload::waiting_work work;
    work.objective = target;
    work.slack = begin + target - remaining - unix_now;
    work.slack_when_late =
        begin + expiry_factor * target - remaining - unix_now;
    work.core_seconds = remaining_core_seconds(owner, occurrence);
    out.cost = overload::work_per_loss(work);
    return out;
}

} // namespace hemlockdeal::jobs
