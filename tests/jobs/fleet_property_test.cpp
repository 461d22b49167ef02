// Guards against tasks that run twice, too early or too often, results that
// are acknowledged before they are stored, workers beyond their capacity, and
// jobs that never end. The faults are kills of the leader, restarted, replaced
// and disconnected workers, and orders that are lost or executed up to 12 s
// late.
#include <string>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fleet_world.hpp"

using namespace hemlockdeal::jobs::test;

namespace
{

// A removed safeguard shows in only a few of a thousand seeds.
constexpr std::uint32_t max_seeds = 3000;

bool is_detected(removed_safeguard removed, std::uint32_t seeds = max_seeds,
                 bool crashes = false, bool capacity_changes = false,
                 bool hand_overs = false)
{
    for (std::uint32_t seed = 0; seed < seeds; ++seed)
    {
        fleet_world world(seed, removed, crashes, capacity_changes, hand_overs);
        world.simulate();
        if (!world.violations().empty())
        {
            return true;
        }
    }
    return false;
}

bool guarantees_hold(bool crashes, bool capacity_changes = false,
                     bool hand_overs = false)
{
    return rc::check([=](std::uint32_t seed) {
        fleet_world world(seed, removed_safeguard::none, crashes,
                          capacity_changes, hand_overs);
        const bool all_over = world.simulate();
        if (!world.violations().empty())
        {
            RC_FAIL("seed " + std::to_string(seed) + ": " +
                    world.violations().front());
        }
        if (!all_over)
        {
            RC_FAIL("seed " + std::to_string(seed) + ": a job did not end");
        }
    });
}

} // namespace

// Failure: some order of faults breaks one of the guarantees above.
TEST(jobs_fleet, guarantees_hold_under_random_faults)
{
    EXPECT_TRUE(guarantees_hold(false));
}

// Failure: tasks of a crashed worker are started elsewhere while one of its
// runs may still be active.
TEST(jobs_fleet, guarantees_hold_while_crashed_workers_are_replaced)
{
    EXPECT_TRUE(guarantees_hold(true));
}

// Failure: a start brings a worker over a capacity that has shrunk, or a job
// does not end although the capacity has grown back.
TEST(jobs_fleet, guarantees_hold_while_capacities_change)
{
    EXPECT_TRUE(guarantees_hold(false, true));
}

// Failure: the same with a worker that takes the place of a crashed one.
TEST(jobs_fleet, guarantees_hold_while_workers_crash_and_capacities_change)
{
    EXPECT_TRUE(guarantees_hold(true, true));
}

// Failure: a leader that takes over in a planned way starts tasks while they
// may still run on workers that it has not seen.
TEST(jobs_fleet, guarantees_hold_across_hand_overs)
{
    EXPECT_TRUE(guarantees_hold(false, false, true));
    EXPECT_TRUE(guarantees_hold(true, false, true));
}

// Failure with seed 26814: a start on a worker that had restarted unnoticed
// was executed after its task had been placed elsewhere. With the other two:
// tasks were started beside a run of a finished job, whose size is unknown.
TEST(jobs_fleet, seeds_that_once_violated_a_guarantee)
{
    for (const std::uint32_t seed : {26814U, 76939505U, 288858620U})
    {
        fleet_world world(seed, removed_safeguard::none);
        EXPECT_TRUE(world.simulate()) << seed;
        EXPECT_THAT(world.violations(), testing::IsEmpty()) << seed;
    }
}

// Failure: the checks above cannot fail.
TEST(jobs_fleet, lost_results_are_detected)
{
    EXPECT_TRUE(is_detected(removed_safeguard::store_before_acknowledge));
}

TEST(jobs_fleet, orders_not_listed_in_the_store_are_detected)
{
    EXPECT_TRUE(is_detected(removed_safeguard::list_before_order));
}

TEST(jobs_fleet, a_takeover_without_waiting_is_detected)
{
    EXPECT_TRUE(is_detected(removed_safeguard::wait_for_unseen_workers));
}

TEST(jobs_fleet, leases_that_outlast_their_stored_bound_are_detected)
{
    EXPECT_TRUE(is_detected(removed_safeguard::leases_of_hand_over, max_seeds,
                            false, false, true));
}

TEST(jobs_fleet, live_workers_that_name_one_vm_are_detected)
{
    EXPECT_TRUE(is_detected(removed_safeguard::one_worker_per_vm));
}

TEST(jobs_fleet, starts_by_an_outdated_capacity_are_detected)
{
    EXPECT_TRUE(is_detected(removed_safeguard::published_capacity, max_seeds,
                            false, true));
}

// Failure: only the deadline protects against late starts. The epoch is the
// second safeguard: either one alone is sufficient, and without both of them
// late starts take effect.
TEST(jobs_fleet, an_epoch_prevents_late_starts)
{
    EXPECT_FALSE(is_detected(removed_safeguard::short_start_validity, 300));
}

TEST(jobs_fleet, late_starts_under_one_epoch_are_detected)
{
    EXPECT_TRUE(
        is_detected(removed_safeguard::short_start_validity_and_higher_epoch));
}
