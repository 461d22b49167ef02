// Guards against configurations that revert and against task starts that rely
// on an expired confirmation.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/core.hpp"

using namespace hemlockdeal;
using namespace std::chrono_literals;

namespace
{

const availability_zone_id zone_a("zone-a");

configuration make_configuration(std::uint64_t version,
                                 std::vector<availability_zone_id> out = {})
{
    configuration c;
    c.version = configuration_version(version);
    c.zones_out = std::move(out);
    return c;
}

time_point at(duration d)
{
    return time_point(d);
}

} // namespace

// Failure: an older version that is delivered late replaces a newer one.
TEST(configuration_state, older_version_is_not_adopted)
{
    configuration_state state;
    EXPECT_TRUE(state.adopt(make_configuration(2)));
    EXPECT_FALSE(state.adopt(make_configuration(1)));
    EXPECT_FALSE(state.adopt(make_configuration(2)));
    EXPECT_EQ(state.version(), configuration_version(2));
}

// Failure: a daemon without a configuration starts tasks.
TEST(configuration_state, nothing_starts_before_the_first_confirmation)
{
    configuration_state state;
    EXPECT_FALSE(state.may_start(zone_a, at(0s), at(0s)));
    state.adopt(make_configuration(1));
    EXPECT_FALSE(state.may_start(zone_a, at(0s), at(0s)));
    state.confirm_from_table(configuration_version(1), at(0s));
    EXPECT_TRUE(state.may_start(zone_a, at(0s), at(0s)));
}

// Failure: a disconnected daemon continues to start tasks.
TEST(configuration_state, confirmation_expires)
{
    configuration_state state;
    state.adopt(make_configuration(1));
    state.confirm_from_table(configuration_version(1), at(10s));
    EXPECT_TRUE(state.may_start(zone_a, at(10s), at(12500ms)));
    EXPECT_FALSE(state.may_start(zone_a, at(10s), at(12501ms)));
    EXPECT_FALSE(state.may_start(zone_a, at(11001ms), at(11001ms)));
}

// Failure: a daemon that knows of a newer version starts tasks under the old
// one.
TEST(configuration_state, newer_version_known_but_not_held_blocks_starts)
{
    configuration_state state;
    state.adopt(make_configuration(1));
    state.confirm_from_table(configuration_version(2), at(1s));
    EXPECT_EQ(state.missing_version(), configuration_version(2));
    EXPECT_FALSE(state.may_start(zone_a, at(1s), at(1s)));
    state.adopt(make_configuration(2, {zone_a}));
    EXPECT_FALSE(state.may_start(zone_a, at(1s), at(1s)));
    EXPECT_TRUE(
        state.may_start(availability_zone_id("zone-b"), at(1s), at(1s)));
}

// Failure: a delayed response with an old version counts as a confirmation of
// the current version, so tasks start after the bound.
RC_GTEST_PROP(configuration_state, start_implies_recent_confirmation, ())
{
    // History of the table: version v + 1 is accepted at accepted[v] (in ms).
    const auto gaps = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 4000)));
    std::vector<std::int64_t> accepted{0};
    for (const int gap : gaps)
    {
        accepted.push_back(accepted.back() + gap);
    }
    const auto newest_at = [&](std::int64_t t) {
        std::uint64_t v = 0;
        while (v + 1 < accepted.size() && accepted[v + 1] <= t)
        {
            ++v;
        }
        return v + 1;
    };
    configuration_state state;
    std::int64_t now = 0;
    std::uint64_t max_version = 0;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i)
    {
        now += *rc::gen::inRange(0, 1500);
        const auto sent = now - *rc::gen::inRange(0, 6000);
        if (sent >= 0)
        {
            const auto read = *rc::gen::inRange<std::int64_t>(sent, now + 1);
            const auto v = newest_at(read);
            if (*rc::gen::arbitrary<bool>())
            {
                state.adopt(make_configuration(v));
            }
            state.confirm_from_table(configuration_version(v),
                                     at(std::chrono::milliseconds(sent)));
        }
        RC_ASSERT(state.version().value() >= max_version);
        max_version = state.version().value();
        const auto t = at(std::chrono::milliseconds(now));
        if (state.may_start(zone_a, t, t))
        {
            // Requirement 4: no start more than 4 s after a newer version
            // was accepted.
            const auto superseded =
                max_version < accepted.size() ? accepted[max_version] : now + 1;
            RC_ASSERT(now < superseded + 4000);
        }
    }
}
