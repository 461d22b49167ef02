// Guards against teams that starve while others borrow.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

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

// One pass over a random queue of four teams on a half full shard. Counts the
// tasks that wait although their team is below its quota and a task of a
// borrowing team of at least their size started.
std::size_t overtaken_tasks(std::uint32_t seed, const policy_options& options)
{
    random_source random(seed);
    scene s;
    fake_shard shard = make_shard(options, 4);
    for (int t = 0; t < 4; ++t)
    {
        shard.quotas().push_back(
            {team_id("team-" + std::to_string(t)), random.real(5, 30), {}});
    }
    time_point now(1s);
    const auto add = [&]() -> fake::job& {
        return s.add(s.batch, scene::batch_number, random.in_range(1, 9), 600,
                     "team-" + std::to_string(random.in_range(0, 4)));
    };
    for (int i = random.in_range(0, 8); i > 0; --i)
    {
        shard.run_on(add(), static_cast<std::size_t>(i % 4), now);
    }
    for (int i = random.in_range(5, 40); i > 0; --i)
    {
        shard.submit(add(), now - std::chrono::seconds(i));
    }
    placement_input input = shard.make_input(now, {});
    const placement_output output = shard.policy().place(input);
    std::map<team_id, std::int64_t> used;
    std::map<team_id, double> quota;
    for (const team_quota& q : shard.quotas())
    {
        used[q.team] = q.used.processors.value;
        quota[q.team] = q.percent / 100.0 *
                        static_cast<double>(input.capacity.processors.value);
    }
    const auto is_below = [&](const team_id& team) {
        return static_cast<double>(used[team]) < quota[team];
    };
    std::set<std::uint32_t> started;
    std::int64_t largest_borrowed = 0;
    for (const task_placement& p : output.placements)
    {
        const job_submission& j = *input.waiting[p.waiting].job;
        const std::int64_t size = j.task_size.processors.value;
        started.insert(p.waiting);
        largest_borrowed = is_below(j.team) ? largest_borrowed
                                            : std::max(largest_borrowed, size);
        used[j.team] += size;
    }
    std::size_t overtaken = 0;
    for (std::uint32_t w = 0; w < input.waiting.size(); ++w)
    {
        const job_submission& j = *input.waiting[w].job;
        overtaken += !started.contains(w) && is_below(j.team) &&
                             j.task_size.processors.value <= largest_borrowed
                         ? 1U
                         : 0U;
    }
    return overtaken;
}

} // namespace

// Failure: a team that borrows gets room that a team below its quota needs.
RC_GTEST_PROP(quota, below_quota_goes_before_borrowing, (std::uint32_t seed))
{
    RC_ASSERT(overtaken_tasks(seed, policy_options()) == 0U);
}

TEST(quota, check_notices_borrowing_before_quota)
{
    policy_options options;
    options.safeguards.quota_before_borrowing = false;
    EXPECT_TRUE(some_seed([&](std::uint32_t seed) {
        return overtaken_tasks(seed, options) > 0;
    }));
}

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
    run_until(shard, now, now + policy_options().reclaim_after + 75s,
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
    run_until(shard, now, now + policy_options().reclaim_after + 60s,
              [&](time_point, const placement_output& output) {
                  evictions += output.evictions.size();
              });
    EXPECT_EQ(evictions, 0U);
    EXPECT_EQ(shard.policy().waiting_reason(s.jobs.back()->declared.id),
              "no worker has enough free processors");
}
