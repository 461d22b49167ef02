// Guards against teams that starve while others borrow.
#include <gtest/gtest.h>

#include "policy/scene.hpp"

using namespace hemlockdeal;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t teams = 240;

std::string team_name(std::size_t number)
{
    return "team-" + std::to_string(1000 + number);
}

// One team floods the shard with old work; each other team then submits one
// task. Returns the longest time that one of those waited.
duration longest_wait(std::uint32_t seed, const policy_options& options)
{
    random_source random(seed);
    scene s;
    fake_shard shard = make_shard(options, 30);
    for (std::size_t t = 0; t < teams; ++t)
    {
        shard.quotas().push_back({team_id(team_name(t)), 100.0 / teams, {}});
    }
    time_point now(1s);
    for (int i = 0; i < 200; ++i)
    {
        shard.submit(s.add(s.batch, scene::batch_number, random.in_range(1, 5),
                           random.real(20, 40), team_name(0), 10),
                     now);
    }
    run_until(shard, now, now + 30s, [](time_point, const auto&) {});
    for (std::size_t t = 1; t < teams; ++t)
    {
        shard.submit(s.add(s.batch, scene::batch_number, random.in_range(1, 3),
                           random.real(20, 40), team_name(t)),
                     now);
    }
    const time_point submitted = now;
    duration longest{};
    run_until(shard, now, now + 180s, [&](time_point at, const auto&) {
        const bool some_wait =
            std::ranges::any_of(shard.waiting_tasks(), [](const auto& w) {
                return w.of->declared.team != team_id(team_name(0));
            });
        longest = some_wait ? at - submitted : longest;
    });
    return longest;
}

} // namespace

// Failure: a team below its quota waits behind a team that borrows. The
// running tasks are over after 40 s, so no team waits longer than two rounds.
TEST(quota, no_team_below_its_quota_starves)
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed)
    {
        EXPECT_LE(longest_wait(seed, policy_options()), 80s) << "seed " << seed;
    }
}

TEST(quota, check_notices_a_policy_without_quotas)
{
    policy_options options;
    options.safeguards.quota_before_borrowing = false;
    EXPECT_TRUE(some_seed(
        [&](std::uint32_t seed) { return longest_wait(seed, options) > 80s; }));
}

// Failure: borrowed work runs for hours while a team below its quota waits.
TEST(quota, borrowed_work_is_evicted_for_a_team_below_its_quota)
{
    scene s;
    fake_shard shard = make_shard(policy_options(), 4);
    shard.quotas() = {{team_id("a"), 50.0, {}}, {team_id("b"), 50.0, {}}};
    time_point now(1s);
    shard.submit(s.add(s.batch, scene::batch_number, 4, 7200, "a", 16), now);
    run_until(shard, now, now + 60s, [](time_point, const auto&) {});
    const fake::job& b = s.add(s.batch, scene::batch_number, 4, 60, "b");
    shard.submit(*s.jobs.back(), now);
    std::size_t evictions = 0;
    run_until(shard, now, now + 80s,
              [&](time_point, const placement_output& output) {
                  evictions += output.evictions.size();
              });
    EXPECT_EQ(evictions, 1U);
    EXPECT_EQ(b.finished, 1U);
}

// Failure: work within its team's quota is evicted for another team.
TEST(quota, work_within_its_quota_is_not_evicted_for_quotas)
{
    scene s;
    fake_shard shard = make_shard(policy_options(), 4);
    shard.quotas() = {{team_id("a"), 95.0, {}}, {team_id("b"), 5.0, {}}};
    time_point now(1s);
    shard.submit(s.add(s.batch, scene::batch_number, 4, 7200, "a", 16), now);
    run_until(shard, now, now + 60s, [](time_point, const auto&) {});
    shard.submit(s.add(s.batch, scene::batch_number, 8, 60, "b"), now);
    std::size_t evictions = 0;
    run_until(shard, now, now + 120s,
              [&](time_point, const placement_output& output) {
                  evictions += output.evictions.size();
              });
    EXPECT_EQ(evictions, 0U);
    EXPECT_EQ(shard.policy().waiting_reason(s.jobs.back()->declared.id),
              "no worker has enough free processors");
}
