// Guards against a leader that extends leases of which the next one does not
// know, and against a next leader that waits for them too briefly or too long.
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "takeover_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Failure: tasks of a failed zone wait for 15 s, although a leader without the
// store needs responses of workers that already follow the next one.
TEST_F(takeover_test,
       lease_extension_ends_when_most_workers_follow_the_next_leader)
{
    std::vector<fleet_record> fleet = {{worker_id("gone"), std::nullopt}};
    for (const auto* const name : {"here", "here-2", "here-3"})
    {
        fleet.push_back({worker_id(name), std::nullopt});
        leader.set_worker(entry(name), now);
    }
    leader.recover_fleet(fleet);
    leader.begin(now);
    all_respond = true;
    EXPECT_THAT(simulate(milliseconds(8900)), testing::IsEmpty());
    EXPECT_THAT(simulate(seconds(1)), testing::ElementsAre(0U, 1U));
}

// Failure: a leader without the store that reaches few workers continues to
// extend leases there; the next leader cannot know for how long.
TEST_F(takeover_test, leases_are_extended_only_while_most_workers_respond)
{
    for (const auto* const name : {"here", "b", "c"})
    {
        leader.set_worker(entry(name), now);
    }
    leader.begin(now);
    all_respond = true;
    ASSERT_THAT(simulate(seconds(1)), testing::SizeIs(2));
    permission.lead_is_valid = false;
    permission.may_start = false;
    simulate(seconds(4));
    lease_extensions = 0;
    simulate(seconds(1));
    EXPECT_GT(lease_extensions, 0U);
    // Two of three stop responding; after the contact limit nothing is
    // extended.
    all_respond = false;
    simulate(milliseconds(2100));
    lease_extensions = 0;
    simulate(seconds(2));
    EXPECT_EQ(lease_extensions, 0U);
    // They respond again.
    all_respond = true;
    simulate(seconds(1));
    EXPECT_GT(lease_extensions, 0U);
}

// Failure: a leader without the store stops extending leases although all
// workers respond, because ended ones count as not reached.
TEST_F(takeover_test, ended_workers_do_not_count_in_the_majority)
{
    for (const auto* const name : {"a", "b", "c"})
    {
        auto earlier = entry(name);
        earlier.vm = vm_id(std::string("vm-") + name);
        leader.set_worker(earlier, now);
    }
    leader.begin(now);
    all_respond = true;
    simulate(seconds(1));
    for (const auto* const name : {"a", "b", "c"})
    {
        auto later = entry(std::string("later-") + name);
        later.vm = vm_id(std::string("vm-") + name);
        leader.set_worker(later, now);
    }
    simulate(seconds(1));
    permission.lead_is_valid = false;
    permission.may_start = false;
    simulate(seconds(4));
    lease_extensions = 0;
    simulate(seconds(1));
    EXPECT_GT(lease_extensions, 0U);
}

// Failure: a worker that has ended counts as one that follows this leader, and
// the wait for lease extensions ends while an earlier leader, which does not
// count it, reaches most of the others.
TEST_F(takeover_test, replaced_workers_do_not_count_as_followers)
{
    std::vector<fleet_record> fleet = {
        {worker_id("gone"), std::nullopt, vm_id("vm-x")},
        {worker_id("gone-2"), std::nullopt, vm_id("vm-y")}};
    for (const auto* const name : {"a", "b", "c", "d", "e"})
    {
        const auto vm = vm_id(std::string("vm-") + name);
        fleet.push_back(
            {worker_id(std::string("ended-") + name), std::nullopt, vm});
    }
    leader.recover_fleet(fleet);
    for (const auto* const name : {"a", "b", "c", "d", "e"})
    {
        auto later = entry(name);
        later.vm = vm_id(std::string("vm-") + name);
        leader.set_worker(later, now);
    }
    leader.begin(now);
    all_respond = true;
    // Five of seven have been replaced; the other two may follow an earlier
    // leader.
    EXPECT_THAT(simulate(seconds(14)), testing::IsEmpty());
    EXPECT_THAT(simulate(seconds(2)), testing::ElementsAre(0U, 1U));
}

// Failure: the new leader waits for lease extensions by a leader that is known
// to be dead.
TEST_F(takeover_test, a_dead_leader_extends_no_leases)
{
    leader.recover_fleet(
        {{worker_id("here"), std::nullopt}, {worker_id("gone"), std::nullopt}});
    leader.set_worker(entry("here"), now);
    leader.begin(now, {.last_has_ended = true});
    EXPECT_THAT(simulate(seconds(7)), testing::ElementsAre(0U, 1U));
}

// Failure: a leader that is cut off with some of the workers gives the others
// up and restarts their task, while the next leader keeps it running on one of
// those (TWICE, a zone that was cut off).
TEST_F(takeover_test, given_up_tasks_wait_while_the_lead_is_in_doubt)
{
    leader.set_worker(entry("here"), now);
    leader.begin(now);
    ASSERT_THAT(simulate(seconds(1)), testing::ElementsAre(0U, 1U));
    // "here" stops responding, and another worker becomes reachable.
    reachable_worker = worker_id("other");
    running.clear();
    leader.set_worker(entry("other"), now);
    ASSERT_THAT(simulate(milliseconds(200)), testing::IsEmpty());
    permission.lead_is_valid = false;
    EXPECT_THAT(simulate(seconds(10)), testing::IsEmpty());
    permission.lead_is_valid = true;
    EXPECT_THAT(simulate(seconds(1)), testing::ElementsAre(0U, 1U));
}
