// Shares of accounts and ranks of their steps.
#include "jobs/quota/share_order.hpp"

#include <algorithm>
#include <utility>

namespace hemlockdeal::jobs
{

namespace
{

double share_of(std::int64_t amount, std::int64_t capacity)
{
    return capacity <= 0
               ? 0.0
               : static_cast<double>(amount) / static_cast<double>(capacity);
}

} // namespace

share_order::share_order(std::vector<waiting_step> steps,
                         const scheduler_state& state, time_point now)
    : state_(state), quota_(state), now_(now), steps_(std::move(steps))
{
    for (const auto& [id, worker] : state_.fleet)
    {
        if (!worker.is_unlisted && !worker.has_ended)
        {
            fleet_capacity_ += worker.entry.capacity;
        }
    }
    add_to_queues(now);
    add_weights_of_running();
    for (std::size_t i = 0; i < queues_.size(); ++i)
    {
        first_steps_.insert(rank_of_first(i));
    }
}

void share_order::add_to_queues(time_point now)
{
    std::map<account_id, std::size_t> numbers;
    for (std::size_t i = 0; i < steps_.size(); ++i)
    {
        const auto& account = steps_[i].owner->definition().account;
        const auto id = account ? account->id : account_id();
        const auto [found, is_new] = numbers.emplace(id, queues_.size());
        if (is_new)
        {
            const auto weight =
                account ? static_cast<double>(
                              state_.limits.policy_of(*account, now).weight)
                        : state_.limits.weight_of_others();
            queues_.push_back({id, weight, {}, 0});
            total_weight_ += weight;
        }
        queues_[found->second].steps.push_back(i);
    }
}

void share_order::add_weights_of_running()
{
    for (const auto& [id, size] : state_.account_usage.all_running())
    {
        if (std::ranges::find(queues_, id, &account_queue::id) != queues_.end())
        {
            continue;
        }
        const auto& policies = state_.limits.policies();
        const auto policy = policies.find(id);
        total_weight_ += policy == policies.end()
                             ? state_.limits.weight_of_others()
                             : static_cast<double>(policy->second.weight);
    }
}

const waiting_step* share_order::next()
{
    if (has_returned_step_)
    {
        auto& last = queues_[last_queue_];
        ++last.next;
        if (last.next < last.steps.size())
        {
            first_steps_.insert(rank_of_first(last_queue_));
        }
    }
    has_returned_step_ = !first_steps_.empty();
    if (!has_returned_step_)
    {
        return nullptr;
    }
    last_queue_ = first_steps_.begin()->queue;
    first_steps_.erase(first_steps_.begin());
    const auto& queue = queues_[last_queue_];
    return &steps_[queue.steps[queue.next]];
}

share_order::rank share_order::rank_of_first(std::size_t queue) const
{
    const auto& account = queues_[queue];
    const auto& step = steps_[account.steps[account.next]];
    const auto use = dominant_share(account.id) / account.weight;
    const bool is_under_share = use < 1.0 / total_weight_;
    rank out;
    out.position = step.position;
    out.queue = queue;
    if (step.position.group == priority_group::delayed_long_running &&
        (is_under_share || quota_.uses_under_half(*step.owner, now_)))
    {
        out.group = rank_group::delayed_long_running;
    }
    else if (step.position.group == priority_group::expired)
    {
        out.group = rank_group::expired;
        out.use = use;
    }
    else if (!is_under_share)
    {
        out.group = rank_group::over_share;
        out.use = use;
    }
    return out;
}

double share_order::dominant_share(const account_id& account) const
{
    const auto used = state_.account_usage.total(account);
    return std::max(
        {share_of(used.processor_millis, fleet_capacity_.processor_millis),
         share_of(used.memory_mb, fleet_capacity_.memory_mb),
         share_of(used.accelerators, fleet_capacity_.accelerators)});
}

} // namespace hemlockdeal::jobs
