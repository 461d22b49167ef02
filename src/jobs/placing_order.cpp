// Groups and ranks of waiting steps.
#include "jobs/placing_order.hpp"

namespace hemlockdeal::jobs
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

placing_position placing_position_of(const live_job& owner,
                                     std::uint32_t occurrence,
                                     std::uint32_t step, milliseconds unix_now,
                                     duration waited,
                                     const policy_switches& policy)
{
    const auto& definition = owner.definition();
    const auto& waiting = definition.steps[step];
    const auto begin = definition.repeats.count > 0 ? owner.due(occurrence)
                                                    : definition.accepted_at;
    const auto target = duration_cast<milliseconds>(
        owner.critical_path() * definition.policy.stretch +
        definition.policy.slack);
    const auto remaining =
        duration_cast<milliseconds>(owner.critical_path_from(step));
    const auto latest_start = begin + target - remaining;
    const auto rank =
        waiting.fills && policy.orders_fills_by_path ? remaining : latest_start;
    if (waiting.is_long_running)
    {
        return {waited > max_long_running_wait
                    ? priority_group::delayed_long_running
                    : priority_group::long_running,
                rank};
    }
    if (!waiting.fills && unix_now <= latest_start)
    {
        return {priority_group::urgent, rank};
    }
    if (unix_now > begin + starvation_factor * target)
    {
        return {priority_group::on_time, milliseconds::min()};
    }
    if (unix_now > begin + expiry_factor * target - remaining)
    {
        return {priority_group::expired, rank};
    }
    if (unix_now > latest_start)
    {
        return {priority_group::late, rank};
    }
    return {priority_group::on_time, rank};
}

} // namespace hemlockdeal::jobs
