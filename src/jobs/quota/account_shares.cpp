// Weights and use of the accounts with work.
#include "jobs/quota/account_shares.hpp"

#include <algorithm>

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

account_shares::account_shares(const scheduler_state& state) : state_(state)
{
    for (const auto& [id, worker] : state.fleet)
    {
        if (!worker.is_unlisted && !worker.has_ended)
        {
            fleet_capacity_ += worker.entry.capacity;
        }
    }
    const auto others = state.limits.weight_of_others();
    const auto& policies = state.limits.policies();
    const auto weight_of = [&](const account_id& id, double otherwise) {
        const auto known = policies.find(id);
        return known == policies.end()
                   ? otherwise
                   : static_cast<double>(known->second.weight);
    };
    for (const auto& [id, owner] : state.registry.live())
    {
        const auto& account = owner->definition().account;
        if (!account)
        {
            weights_.emplace(account_id(), others);
            continue;
        }
        weights_.emplace(
            account->id,
            weight_of(account->id, static_cast<double>(account->weight)));
    }
    for (const auto& [id, size] : state.account_usage.all_running())
    {
        weights_.emplace(id, weight_of(id, others));
    }
    for (const auto& [id, weight] : weights_)
    {
        total_weight_ += weight;
    }
}

double account_shares::use_of_share(const account_id& account) const
{
    return use_of_share(account, state_.account_usage.total(account));
}

double account_shares::use_of_share(const account_id& account,
                                    const task_size& size) const
{
    const auto weight = weights_.find(account);
    return weight == weights_.end()
               ? 0.0
               : dominant_share(size) * total_weight_ / weight->second;
}

double account_shares::dominant_share(const task_size& used) const
{
    return std::max(
        {share_of(used.processor_millis, fleet_capacity_.processor_millis),
         share_of(used.memory_mb, fleet_capacity_.memory_mb),
         share_of(used.accelerators, fleet_capacity_.accelerators)});
}

} // namespace hemlockdeal::jobs
