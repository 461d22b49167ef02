// Guards against two VMs that rely on the same lease at once, and against a
// lease that is lost because of a lost response.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "control/control.hpp"
#include "support/fake_table.hpp"

using namespace hemlockdeal;
using namespace std::chrono_literals;

namespace
{

const vm_id self("entry-1");

time_point at_time(duration d)
{
    return time_point(d);
}

// Revokes the lease of `self`, as a VM does when it takes over the shards.
bool revoke(test::fake_table& table, row_version seen)
{
    const auto row = table.row(lease_key(self));
    auto content = value_of(parse_lease_row(row->value));
    content.revoked_by = "entry-2";
    return std::holds_alternative<commit_done>(table.commit(
        {commit_id("t"), {}, {{lease_key(self), seen, to_text(content)}}}));
}

} // namespace

// Failure: the validity is counted from the response instead of the request.
TEST(vm_lease, validity_counts_from_first_send)
{
    test::fake_table table;
    vm_lease lease(self, incarnation(1));
    const auto commit = lease.next_commit(at_time(10s));
    ASSERT_TRUE(commit);
    lease.on_outcome(commit->id, commit_unknown{"timeout"}, at_time(12s));
    const auto again = lease.next_commit(at_time(12300ms));
    ASSERT_TRUE(again);
    EXPECT_EQ(again->id, commit->id);
    lease.on_outcome(again->id, table.commit(*again), at_time(13s));
    EXPECT_TRUE(lease.valid(at_time(14999ms)));
    EXPECT_FALSE(lease.valid(at_time(15s)));
}

// Failure: a renewal whose response was lost is treated as a lost lease.
TEST(vm_lease, lost_response_is_recognized_as_own_write)
{
    test::fake_table table;
    vm_lease lease(self, incarnation(1));
    const auto commit = lease.next_commit(at_time(0s));
    lease.on_outcome(commit->id, table.commit(*commit), at_time(0s));
    const auto renewal = lease.next_commit(at_time(1s));
    ASSERT_TRUE(renewal);
    table.commit(*renewal);
    lease.on_outcome(renewal->id, commit_unknown{"closed"}, at_time(1s));
    const auto again = lease.next_commit(at_time(2s));
    ASSERT_TRUE(again);
    lease.on_outcome(again->id, table.commit(*again), at_time(2s));
    EXPECT_EQ(lease.current_incarnation(), incarnation(1));
    EXPECT_TRUE(lease.valid(at_time(5s)));
}

// Failure: a holder keeps relying on a lease that was revoked.
TEST(vm_lease, revoked_lease_is_lost_and_requested_again)
{
    test::fake_table table;
    vm_lease lease(self, incarnation(1));
    const auto commit = lease.next_commit(at_time(0s));
    lease.on_outcome(commit->id, table.commit(*commit), at_time(0s));
    ASSERT_TRUE(revoke(table, table.row(lease_key(self))->version));
    const auto renewal = lease.next_commit(at_time(1s));
    lease.on_outcome(renewal->id, table.commit(*renewal), at_time(1s));
    EXPECT_FALSE(lease.valid(at_time(1s)));
    EXPECT_EQ(lease.current_incarnation(), incarnation(2));
    const auto fresh = lease.next_commit(at_time(1s));
    ASSERT_TRUE(fresh);
    lease.on_outcome(fresh->id, table.commit(*fresh), at_time(1s));
    EXPECT_TRUE(lease.valid(at_time(2s)));
}

// Failure: an old process that resumes takes the lease from the process that
// replaced it.
TEST(vm_lease, older_process_is_superseded)
{
    test::fake_table table;
    vm_lease old_process(self, incarnation(1));
    vm_lease new_process(self, incarnation(9));
    const auto first = old_process.next_commit(at_time(0s));
    old_process.on_outcome(first->id, table.commit(*first), at_time(0s));
    // The first attempt conflicts with the row of the old process; the second
    // replaces it.
    for (int i = 0; i < 2; ++i)
    {
        const auto claim = new_process.next_commit(at_time(1s));
        new_process.on_outcome(claim->id, table.commit(*claim), at_time(1s));
    }
    const auto renewal = old_process.next_commit(at_time(2s));
    old_process.on_outcome(renewal->id, table.commit(*renewal), at_time(2s));
    EXPECT_TRUE(old_process.superseded());
    EXPECT_FALSE(old_process.next_commit(at_time(100s)));
    EXPECT_TRUE(new_process.valid(at_time(2s)));
}

// Failure: a first claim whose response was lost is resent and undoes a
// revocation made in the meantime.
TEST(vm_lease, repeated_claim_does_not_undo_a_revocation)
{
    test::fake_table table;
    vm_lease lease(self, incarnation(1));
    const auto claim = lease.next_commit(at_time(0s));
    table.commit(*claim);
    lease.on_outcome(claim->id, commit_unknown{"closed"}, at_time(0s));
    ASSERT_TRUE(revoke(table, table.row(lease_key(self))->version));
    const auto again = lease.next_commit(at_time(8s));
    ASSERT_TRUE(again);
    lease.on_outcome(again->id, table.commit(*again), at_time(8s));
    EXPECT_FALSE(lease.valid(at_time(8s)));
    EXPECT_EQ(lease.current_incarnation(), incarnation(2));
}

// Failure: another VM takes over after the required wait while the holder still
// considers its lease valid. Responses are lost and delayed at random.
RC_GTEST_PROP(vm_lease, never_valid_after_a_takeover, ())
{
    constexpr duration takeover_wait = 7s;
    test::fake_table table;
    vm_lease lease(self, incarnation(1));
    std::optional<row_version> seen;
    time_point seen_at;
    time_point now;
    bool revoked = false;
    for (int step = 0; step < 120; ++step)
    {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
        if (const auto commit = lease.next_commit(now))
        {
            const bool is_delivered = *rc::gen::arbitrary<bool>();
            const bool is_response_delivered = *rc::gen::arbitrary<bool>();
            const auto outcome = is_delivered
                                     ? table.commit(*commit)
                                     : commit_outcome(commit_unknown{});
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
            lease.on_outcome(commit->id,
                             is_response_delivered
                                 ? outcome
                                 : commit_outcome(commit_unknown{}),
                             now);
            revoked = revoked && lease.current_incarnation() == incarnation(1);
        }
        if (const auto row = table.row(lease_key(self)); row && !revoked)
        {
            if (seen != row->version)
            {
                seen = row->version;
                seen_at = now;
            }
            else if (now - seen_at >= takeover_wait && revoke(table, *seen))
            {
                revoked = true;
                RC_ASSERT(!lease.valid(now));
            }
        }
        if (revoked)
        {
            RC_ASSERT(!lease.valid(now));
        }
    }
}
