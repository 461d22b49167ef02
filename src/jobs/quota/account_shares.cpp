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
    for (const auto& [id, size] : state.account_usage.all_running())
    {
        const auto weight = weight_of(id, state.limits.weight_of_others());
        weights_.emplace(id, weight);
        total_weight_ += weight;
    }
}

void account_shares::add(const std::optional<accounts::account_policy>& account)
{
    const auto others = state_.limits.weight_of_others();
    const auto weight =
        account ? weight_of(account->id, static_cast<double>(account->weight))
                : others;
    const bool is_new =
        weights_.emplace(account ? account->id : account_id(), weight).second;
    total_weight_ += is_new ? weight : 0.0;
}

double account_shares::weight_of(const account_id& id, double otherwise) const
{
    const auto& policies = state_.limits.policies();
    const auto known = policies.find(id);
    return known == policies.end() ? otherwise
                                   : static_cast<double>(known->second.weight);
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
        {share_of(used.processor_millis,
                  state_.fleet_capacity.processor_millis),
         share_of(used.memory_mb, state_.fleet_capacity.memory_mb),
         share_of(used.accelerators, state_.fleet_capacity.accelerators)});
}

} // namespace hemlockdeal::jobs
