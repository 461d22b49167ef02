// Plays a load on emulated workers whose capacity shrinks and grows back, and
// which do not guard it.
#include <vector>

#include <gtest/gtest.h>

#include "overload.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::emulation;
using namespace hemlockdeal::emulation::test;

namespace
{

simulation_options changing_fleet(std::uint32_t seed)
{
    auto options = overload(seed);
    options.changes_capacity = true;
    options.enforces_capacity = false;
    return options;
}

// One result a seed; played once for all tests.
const std::vector<simulation_result>& changing_results()
{
    static const auto results = [] {
        std::vector<simulation_result> out;
        for (std::uint32_t seed = 1; seed <= seed_count; ++seed)
        {
            out.push_back(play(changing_fleet(seed)));
        }
        return out;
    }();
    return results;
}

} // namespace

// Failure: a start brings a worker over the capacity that it last published.
TEST(capacity_change_test, no_start_exceeds_the_published_capacity)
{
    for (const auto& result : changing_results())
    {
        EXPECT_EQ(result.starts_over_capacity, 0U);
        EXPECT_GT(result.capacity_changes, 200U);
        EXPECT_GT(result.of(job_kind::urgent).in_time, 0U);
    }
}

// Failure: the check above cannot fail.
TEST(capacity_change_test, starts_by_an_outdated_capacity_are_detected)
{
    auto options = changing_fleet(1);
    options.leader_learns_capacity = false;
    EXPECT_GT(play(options).starts_over_capacity, 0U);
}

// Failure: fill tasks keep serving tasks above their target for longer than the
// limit, because pressures are learnt wrongly from a changed capacity.
TEST(capacity_change_test, no_serving_task_is_harmed_beyond_the_limit)
{
    const auto limit = jobs::scheduler_options().harm_limit;
    for (const auto& result : changing_results())
    {
        EXPECT_LT(result.longest_harm, limit);
    }
}
