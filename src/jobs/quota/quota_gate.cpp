// Comparison of an account's cap with what it has running.
#include "jobs/quota/quota_gate.hpp"

namespace hemlockdeal::jobs
{

bool quota_gate::admits(const live_job& owner, const step& s,
                        std::uint32_t count, time_point now) const
{
    const auto& account = owner.definition().account;
    if (!account)
    {
        return true;
    }
    if (!state_.may_start_account_tasks)
    {
        return false;
    }
    return is_within(state_.limits.policy_of(*account, now).cap,
                     state_.account_usage.total(account->id), s.size * count);
}

bool quota_gate::admits_counted(const live_job& owner, const step& s,
                                time_point now) const
{
    const auto& account = owner.definition().account;
    if (!account)
    {
        return true;
    }
    const auto others =
        state_.account_usage.total(account->id) + s.size * std::int64_t{-1};
    return state_.may_start_account_tasks &&
           is_within(state_.limits.policy_of(*account, now).cap, others,
                     s.size);
}

bool quota_gate::uses_under_half(const live_job& owner, time_point now) const
{
    const auto& account = owner.definition().account;
    if (!account)
    {
        return true;
    }
    const auto used = state_.account_usage.total(account->id);
    return is_within(state_.limits.policy_of(*account, now).cap, used, used);
}

} // namespace hemlockdeal::jobs
