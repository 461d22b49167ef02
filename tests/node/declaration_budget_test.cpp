// Guards against a budget whose shares add up to more than the time within
// which a declaration must be in force.
#include <chrono>

#include <gtest/gtest.h>

#include "node/node.hpp"

using namespace hemlockdeal;
using std::chrono::milliseconds;

namespace
{

// How long a change may stay unnoticed if the call that would have shown it is
// lost.
duration notice_time(const node::declaration_budget& budget)
{
    return budget.feed_wait() + budget.hedging().first_after;
}

} // namespace

// Failure: a VM notices a change so late that no time is left to fetch it.
TEST(declaration_budget_test, noticing_leaves_most_of_the_time)
{
    for (const int bound_ms : {2500, 3000, 4000, 10'000})
    {
        const node::declaration_budget budget{milliseconds(bound_ms)};
        EXPECT_LE(notice_time(budget) * 10, budget.apply_within() * 4)
            << bound_ms;
    }
}

// Failure: a response that stalls is given up when no time is left to read it
// over another connection.
TEST(declaration_budget_test, stall_ends_well_within_the_time)
{
    const node::declaration_budget budget{milliseconds(2500)};
    EXPECT_LE(notice_time(budget) + budget.progress().interval,
              budget.apply_within() * 2 / 3);
}

// Failure: a tiny bound in the settings makes every VM call without pause.
TEST(declaration_budget_test, feed_calls_have_a_minimum_wait)
{
    const node::declaration_budget budget{milliseconds(1)};
    EXPECT_GE(budget.feed_wait(), milliseconds(300));
}
