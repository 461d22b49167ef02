// Shares of the fleet that client accounts are entitled to and use.
#pragma once

#include <map>
#include <optional>

#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

// An account's share is its weight in proportion to those of all accounts that
// have runs or were added as waiting. What it uses is measured by its dominant
// resource. Jobs without an account count as one account with the mean weight.
class account_shares
{
public:
    explicit account_shares(const scheduler_state& state);

    // The owner of waiting work; empty for jobs without an account.
    void add(const std::optional<accounts::account_policy>& account);

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

    // Weight in force, or `otherwise` for an account that this VM has not read.
    double weight_of(const account_id& id, double otherwise) const;

    const scheduler_state& state_;
    std::map<account_id, double> weights_;
    double total_weight_ = 0.0;
};

} // namespace hemlockdeal::jobs
