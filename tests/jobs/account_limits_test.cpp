// Guards against caps that are not in force, or that bind for too long.
#include <chrono>

#include <gtest/gtest.h>

#include "account_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::seconds;

namespace
{

class account_limits_test : public testing::Test
{
protected:
    void adopt(const std::vector<accounts::account_policy>& policies)
    {
        limits.adopt(make_accounts(policies), now, seconds(4));
    }
    accounts::resource_cap cap() const
    {
        return limits.policy_of(make_policy("a", 777), now).cap;
    }

    account_limits limits;
    time_point now{seconds(100)};
};

} // namespace

// Failure: a raised cap is used while other VMs follow the lower one, or a
// lowered one is not used at once.
TEST_F(account_limits_test, lower_cap_of_two_versions_binds)
{
    adopt({{account_id("a"), 1, {4000, 100, 2}}});
    now += seconds(10);
    adopt({{account_id("a"), 1, {8000, 50, 2}}});
    EXPECT_EQ(cap(), (accounts::resource_cap{4000, 50, 2}));
    now += seconds(4);
    EXPECT_EQ(cap(), (accounts::resource_cap{8000, 50, 2}));
}

// Failure: only the last one of several changes in a row counts.
TEST_F(account_limits_test, all_recent_versions_count)
{
    adopt({make_policy("a", 4000)});
    now += seconds(10);
    adopt({make_policy("a", 1000)});
    now += seconds(2);
    adopt({make_policy("a", 9000)});
    now += seconds(2);
    adopt({make_policy("a", 10000)});
    EXPECT_EQ(cap().processor_millis, 1000);
    now += seconds(2);
    EXPECT_EQ(cap().processor_millis, 9000);
    now += seconds(2);
    EXPECT_EQ(cap().processor_millis, 10000);
}

// Failure: 0 counts as the lowest cap, so that nothing starts, or as the cap in
// force while a limit still is.
TEST_F(account_limits_test, zero_is_no_limit)
{
    adopt({make_policy("a", 0)});
    EXPECT_EQ(cap().processor_millis, 0);
    EXPECT_TRUE(is_within(cap(), {1000000, 1000000, 9}, {1000000, 1, 1}));
    now += seconds(10);
    adopt({make_policy("a", 3000)});
    EXPECT_EQ(cap().processor_millis, 3000);
    now += seconds(10);
    adopt({make_policy("a", 0)});
    EXPECT_EQ(cap().processor_millis, 3000);
    now += seconds(4);
    EXPECT_EQ(cap().processor_millis, 0);
}

// Failure: jobs of an account that was removed run without a limit, or under
// one that is older than the last.
TEST_F(account_limits_test, removed_account_keeps_its_last_limits)
{
    EXPECT_EQ(cap().processor_millis, 777);
    adopt({make_policy("a", 4000), make_policy("b", 1)});
    now += seconds(10);
    adopt({make_policy("b", 1)});
    EXPECT_EQ(cap().processor_millis, 4000);
    now += seconds(10);
    adopt({});
    EXPECT_FALSE(limits.has_accounts());
    EXPECT_EQ(cap().processor_millis, 4000);
    adopt({make_policy("a", 9000)});
    EXPECT_EQ(cap().processor_millis, 4000);
}

// Failure: a resource that a task does not need holds it back, or one of the
// three is not compared.
TEST_F(account_limits_test, each_needed_resource_is_compared)
{
    const accounts::resource_cap cap{1000, 1000, 1};
    EXPECT_TRUE(is_within(cap, {900, 900, 0}, {100, 100, 1}));
    EXPECT_FALSE(is_within(cap, {900, 900, 0}, {101, 100, 1}));
    EXPECT_FALSE(is_within(cap, {900, 900, 0}, {100, 101, 1}));
    EXPECT_FALSE(is_within(cap, {900, 900, 1}, {100, 100, 1}));
    EXPECT_TRUE(is_within(cap, {900, 900, 5}, {100, 100, 0}));
}
