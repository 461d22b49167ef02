// Order in which the waiting steps of client accounts are placed.
#pragma once

#include <compare>
#include <cstddef>
#include <set>
#include <vector>

#include "jobs/quota/account_shares.hpp"
#include "jobs/quota/quota_gate.hpp"
#include "jobs/waiting_steps.hpp"

namespace hemlockdeal::jobs
{

// Weighted fair sharing: when the workers do not have room for all, steps of
// accounts that use less than their share of the fleet go first.
class share_order
{
public:
    // `steps` are in the order in which they would be placed without accounts.
    share_order(std::vector<waiting_step> steps, const scheduler_state& state,
                time_point now);

    // The tasks to be placed next, or null if there are none left. What their
    // account has running by then counts in the choice of the following ones.
    step_turn* next();

private:
    // Waiting steps of one account, the first to be placed first.
    struct account_queue
    {
        account_id id;
        std::vector<std::size_t> steps;
        std::size_t next = 0;
        // Of the step at `next`.
        step_turn turn;
    };

    enum class rank_group
    {
        // Long-running tasks that have waited for long. An account that uses
        // half of its cap or more has no claim to this.
        delayed_long_running,
        under_share,
        over_share,
        // Work that is too late to be of use: it takes what the others leave.
        expired
    };

    // Steps with a lower rank are placed first.
    struct rank
    {
        rank_group group = rank_group::under_share;
        // Use in relation to the share; zero for accounts below it.
        double use = 0.0;
        placing_position position;
        std::size_t queue = 0;

        friend auto operator<=>(const rank&, const rank&) = default;
    };

    void add_to_queues();
    rank rank_of_first(std::size_t queue) const;
    // Limits what one turn of a wide step takes from other accounts.
    std::size_t max_tasks_of_turn(const account_queue& queue) const;

    quota_gate quota_;
    account_shares shares_;
    time_point now_;
    std::vector<waiting_step> steps_;
    std::vector<account_queue> queues_;
    // One for each queue with steps that are left.
    std::set<rank> first_steps_;
    // The queue whose step was returned last.
    std::size_t last_queue_ = 0;
    bool has_returned_step_ = false;
};

} // namespace hemlockdeal::jobs
