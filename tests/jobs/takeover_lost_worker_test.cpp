// Guards against wrong conclusions of a new leader from workers that the
// membership list does not show, or shows with a malformed entry.
#include <algorithm>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "takeover_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Failure: the tasks of a recorded worker whose entry is malformed at the
// takeover start a second time, or are never started again.
TEST_F(takeover_test,
       tasks_wait_for_the_leases_of_a_worker_with_a_malformed_entry)
{
    begin_with_malformed_entry();
    EXPECT_THAT(simulate(seconds(12)), testing::IsEmpty());
    EXPECT_THAT(simulate(seconds(6)), testing::ElementsAre(0U, 1U));
    EXPECT_THAT(simulate(seconds(6)), testing::IsEmpty());
}

// Failure: runs on a worker whose entry was malformed at the takeover are
// started again after the entry has become valid.
TEST_F(takeover_test, runs_are_adopted_once_a_malformed_entry_is_valid)
{
    begin_with_malformed_entry();
    ASSERT_THAT(simulate(seconds(3)), testing::IsEmpty());
    for (const auto index : {0U, 1U})
    {
        running.push_back({key(index), 1, "", 0, -1});
        ran_on[key(index)] = worker_id("malformed");
    }
    all_respond = true;
    leader.set_worker(entry("malformed"), now);
    EXPECT_THAT(simulate(seconds(20)), testing::IsEmpty());
    EXPECT_EQ(leader.fleet().at(worker_id("malformed")).runs().size(), 2U);
}

// Failure: a task that crashes its worker before each of several takeovers is
// started for ever if the VMs are away for longer than the leases (BUDGET).
TEST_F(takeover_test, suspects_of_a_worker_that_stays_away_are_counted)
{
    leader.recover_fleet(
        {{worker_id("here"), std::nullopt},
         {worker_id("away"), std::vector{key(1)}, vm_id("vm-2"), {key(1)}}});
    leader.set_worker(entry("here"), now);
    leader.begin(now);
    EXPECT_THAT(simulate(seconds(18)), testing::ElementsAre(0U, 1U));
    const auto events = leader.take_events();
    EXPECT_TRUE(std::ranges::any_of(events, [](const decision_event& event) {
        return event.message == "task may have crashed its worker";
    }));
}

// Failure: a worker whose entry is malformed at the end of the recovery counts
// as crashed, and a sound job may end as failed.
TEST_F(takeover_test, malformed_entry_is_no_evidence_of_a_crash)
{
    recover_workers_with_suspects();
    leader.remove_worker(worker_id("unknown"), now, entry_loss::malformed);
    leader.begin(now);
    leader.remove_worker(worker_id("listed"), now, entry_loss::malformed);
    EXPECT_THAT(simulate(seconds(18)), testing::ElementsAre(0U, 1U));
    EXPECT_EQ(count_suspected_tasks(), 0);
}

// Failure: a worker that has left the list counts for nothing because its entry
// was malformed before.
TEST_F(takeover_test, removal_of_a_malformed_entry_is_evidence_of_a_crash)
{
    recover_workers_with_suspects();
    leader.begin(now);
    for (const auto* const name : {"unknown", "listed"})
    {
        leader.remove_worker(worker_id(name), now, entry_loss::malformed);
        leader.remove_worker(worker_id(name), now);
    }
    EXPECT_THAT(simulate(seconds(18)), testing::ElementsAre(0U, 1U));
    EXPECT_EQ(count_suspected_tasks(), 2);
}
