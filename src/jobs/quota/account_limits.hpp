// Caps and weights of client accounts that are in force.
#pragma once

#include <map>
#include <vector>

#include "accounts/accounts.hpp"
#include "jobs/job.hpp"

namespace hemlockdeal::jobs
{

// While two versions of the configuration may be in force, the lower cap binds.
// An account that leaves the configuration keeps its last limits.
class account_limits
{
public:
    // An earlier version may be in force on other VMs until `delay` from now.
    void adopt(const accounts::account_directory& accounts, time_point now,
               duration delay);

    // True if the configuration in force has accounts.
    bool has_accounts() const { return has_accounts_; }

    // The limits of the account. `at_acceptance` counts for one that no
    // configuration has held that this VM has read.
    accounts::account_policy
    policy_of(const accounts::account_policy& at_acceptance,
              time_point now) const;

    // Weight that all jobs without an account have together: the mean of those
    // in force.
    double weight_of_others() const { return weight_of_others_; }

    // Policies of the accounts that this VM has read, with the caps of the last
    // version.
    const std::map<account_id, accounts::account_policy>& policies() const
    {
        return policies_;
    }

private:
    // Caps of an earlier version that differ from those of the next one.
    struct replaced_caps
    {
        std::map<account_id, accounts::resource_cap> caps;
        time_point in_force_until{};
    };

    std::map<account_id, accounts::account_policy> policies_;
    std::vector<replaced_caps> replaced_;
    bool has_accounts_ = false;
    double weight_of_others_ = 1.0;
};

// True if `used` together with `more` stays within the cap.
bool is_within(const accounts::resource_cap& cap, const task_size& used,
               const task_size& more);

// The lower limit of each resource.
accounts::resource_cap lower_of(const accounts::resource_cap& a,
                                const accounts::resource_cap& b);

} // namespace hemlockdeal::jobs
