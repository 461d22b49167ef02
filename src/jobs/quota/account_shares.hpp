// Shares of the fleet that client accounts are entitled to and use.
#pragma once

#include <map>
#include <optional>

#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

// An account's share is its weight in proportion to those of all accounts that
// have jobs or runs. What it uses is measured by its dominant resource. Jobs
// without an account count as one account with the mean weight.
class account_shares
{
public:
    explicit account_shares(const scheduler_state& state);

    // What the account uses in relation to its share: 1 is just the share.
    double use_of_share(const account_id& account) const;
    // What a run of this size adds to it, if its dominant resource is the
    // account's.
    double use_of_share(const account_id& account, const task_size& size) const;
    bool
    is_over_share(const std::optional<accounts::account_policy>& account) const
    {
        return use_of_share(account ? account->id : account_id()) >= 1.0;
    }

private:
    double dominant_share(const task_size& used) const;

    const scheduler_state& state_;
    task_size fleet_capacity_;
    std::map<account_id, double> weights_;
    double total_weight_ = 0.0;
};

} // namespace hemlockdeal::jobs
