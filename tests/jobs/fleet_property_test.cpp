// Guards against tasks that run twice, too early or too often, results that
// are acknowledged before they are stored, workers beyond their capacity, and
// jobs that never end, under kills of the leader, restarted and cut-off
// workers, and orders that are lost or carried out up to 12 s late.
#include <string>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fleet_world.hpp"

using namespace hemlockdeal::jobs::test;

namespace
{

// A removed safeguard shows in a few of a thousand days.
constexpr std::uint32_t break_seeds = 3000;

bool is_noticed(removed_safeguard removed, std::uint32_t seeds = break_seeds)
{
    for (std::uint32_t seed = 0; seed < seeds; ++seed)
    {
        fleet_world world(seed, removed);
        world.play();
        if (!world.broken().empty())
        {
            return true;
        }
    }
    return false;
}

} // namespace

// Failure: any of the promises above is broken for some order of faults.
TEST(jobs_fleet, promises_hold_under_random_faults)
{
    const bool holds = rc::check([](std::uint32_t seed) {
        fleet_world world(seed, removed_safeguard::none);
        const bool all_over = world.play();
        if (!world.broken().empty())
        {
            RC_FAIL("seed " + std::to_string(seed) + ": " +
                    world.broken().front());
        }
        if (!all_over)
        {
            RC_FAIL("seed " + std::to_string(seed) + ": a job did not end");
        }
    });
    EXPECT_TRUE(holds);
}

// Failure: 26814, a start on a worker that had restarted unseen was carried
// out after its task had been placed elsewhere; the other two, tasks were
// started beside a run of a job that was over, whose size is not known.
TEST(jobs_fleet, days_that_once_broke_a_promise)
{
    for (const std::uint32_t seed : {26814U, 76939505U, 288858620U})
    {
        fleet_world world(seed, removed_safeguard::none);
        EXPECT_TRUE(world.play()) << seed;
        EXPECT_THAT(world.broken(), testing::IsEmpty()) << seed;
    }
}

// Failure: the checks above cannot fail.
TEST(jobs_fleet, lost_results_are_noticed)
{
    EXPECT_TRUE(is_noticed(removed_safeguard::store_before_acknowledge));
}

TEST(jobs_fleet, orders_that_the_store_does_not_name_are_noticed)
{
    EXPECT_TRUE(is_noticed(removed_safeguard::name_before_order));
}

TEST(jobs_fleet, a_takeover_without_waiting_is_noticed)
{
    EXPECT_TRUE(is_noticed(removed_safeguard::wait_for_unseen_workers));
}

// Failure: late starts are held off by their deadline alone. The epoch is the
// second line: one of the two is enough, none of them is not.
TEST(jobs_fleet, an_epoch_holds_late_starts_off)
{
    EXPECT_FALSE(is_noticed(removed_safeguard::short_start_validity, 300));
}

TEST(jobs_fleet, late_starts_under_one_epoch_are_noticed)
{
    EXPECT_TRUE(
        is_noticed(removed_safeguard::short_start_validity_and_higher_epoch));
}
