// Plays loads on the emulated fleet and checks what callers get. Each test also
// plays the load with the policy switched off and shows that it is worse.
#include <algorithm>

#include <gtest/gtest.h>

#include "overload.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::emulation;
using namespace hemlockdeal::emulation::test;

namespace
{

struct totals
{
    std::size_t fills_due = 0;
    std::size_t fills_in_time = 0;
    double over_target_share = 0.0;
    duration longest_harm{};
};

// Sums over the seeds.
template <typename Change>
totals play_seeds(const Change& change)
{
    totals sum;
    for (std::uint32_t seed = 1; seed <= seed_count; ++seed)
    {
        auto options = overload(seed);
        change(options);
        const auto result = play(options);
        sum.fills_due += result.of(job_kind::fill).due;
        sum.fills_in_time += result.of(job_kind::fill).in_time;
        sum.over_target_share += result.over_target_share() / seed_count;
        sum.longest_harm = std::max(sum.longest_harm, result.longest_harm);
    }
    return sum;
}

// The present policy; played once for all tests.
const totals& present_policy()
{
    static const totals sum = play_seeds([](simulation_options&) {});
    return sum;
}

} // namespace

// Failure: under overload fill jobs are served in the order of their latest
// starts, so that each is served when it is about to be late.
TEST(load_policy_test, overload_serves_short_remaining_paths_first)
{
    const auto& by_path = present_policy();
    const auto by_latest_start = play_seeds([](simulation_options& o) {
        o.scheduler.policy.orders_fills_by_path = false;
    });
    EXPECT_EQ(by_path.fills_due, by_latest_start.fills_due);
    EXPECT_GT(by_path.fills_in_time, by_latest_start.fills_in_time);
}

// Failure: fill tasks keep a serving task above its target for longer than the
// limit, because the placement misjudged them.
TEST(load_policy_test, no_serving_task_is_harmed_beyond_the_limit)
{
    const auto limit = jobs::scheduler_options().harm_limit;
    EXPECT_LT(present_policy().longest_harm, limit);
    const auto never_suspended = play_seeds([](simulation_options& o) {
        o.scheduler.policy.suspends_fills = false;
    });
    EXPECT_GT(never_suspended.longest_harm, limit);
}

// Failure: fill tasks are placed beside serving tasks that they slow down,
// although others are free.
TEST(load_policy_test, fills_keep_off_the_serving_tasks_that_they_harm)
{
    const auto& present = present_policy();
    const auto blind = play_seeds([](simulation_options& o) {
        o.scheduler.policy.uses_learnt_pressures = false;
    });
    EXPECT_LT(present.over_target_share, blind.over_target_share);
    EXPECT_GT(present.fills_in_time, blind.fills_in_time);
    const auto heedless = play_seeds([](simulation_options& o) {
        o.scheduler.policy.avoids_added_harm = false;
    });
    EXPECT_LT(present.over_target_share, heedless.over_target_share);
}

// Failure: a new leader learns from the start what an earlier one has stored,
// and serving tasks are harmed meanwhile.
TEST(load_policy_test, stored_pressures_are_used_at_once)
{
    const auto& learning = present_policy();
    const auto knowing =
        play_seeds([](simulation_options& o) { o.knows_pressures = true; });
    EXPECT_LT(knowing.over_target_share, learning.over_target_share);
}
