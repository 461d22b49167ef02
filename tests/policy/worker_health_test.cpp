// Guards against bad workers that get work, and against good workers that are
// set aside because of bad jobs.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "policy/scene.hpp"

using namespace hemlockdeal;
using namespace std::chrono_literals;

namespace
{

// Largest number of quarantined workers beyond the bound, over random
// failures and successes.
std::size_t quarantined_beyond_bound(std::uint32_t seed,
                                     const policy_options& options)
{
    random_source random(seed);
    worker_health health(options);
    const int workers = random.in_range(1, 31);
    std::vector<std::uint64_t> all;
    all.reserve(30);
    for (int w = 0; w < workers; ++w)
    {
        all.push_back(stable_hash(std::to_string(w)));
    }
    const auto any_worker = [&] {
        return all[static_cast<std::size_t>(
            random.in_range(0, static_cast<int>(all.size())))];
    };
    std::size_t beyond = 0;
    time_point now(1s);
    health.set_workers(all, now);
    for (int event = 0; event < 300; ++event, now += 1s)
    {
        const auto job = static_cast<std::uint64_t>(random.in_range(1, 100));
        random.in_range(0, 3) == 0
            ? health.add_success(any_worker(), job, 1s, now)
            : health.add_failure(any_worker(), job, now);
        if (random.in_range(0, 20) == 0 && all.size() > 5)
        {
            all.pop_back();
        }
        health.set_workers(all, now);
        const auto limit = std::max<std::size_t>(1, all.size() / 5);
        const std::size_t quarantined = health.quarantined();
        beyond = std::max(beyond, quarantined - std::min(quarantined, limit));
    }
    return beyond;
}

struct fleet_result
{
    std::vector<bool> quarantined;
    std::uint64_t failures = 0;
    // Starts on the bad worker while it was in quarantine.
    std::uint64_t starts_in_quarantine = 0;
    duration in_quarantine{};
};

// Ten workers of which the fourth may be bad, and a share of bad jobs.
fleet_result run_fleet(std::uint32_t seed, const policy_options& options,
                       bool bad_worker, double bad_jobs)
{
    random_source random(seed);
    scene s;
    fake_shard shard = make_shard(options, 10);
    fake::worker& suspect = shard.workers()[3];
    suspect.fails_everything = bad_worker;
    fleet_result result;
    time_point now(1s);
    for (int step = 0; step < 2400; ++step, now += fake_shard::step_length)
    {
        if (step % 4 == 0)
        {
            fake::job& j =
                s.add(s.batch, scene::batch_number, random.in_range(1, 5),
                      random.in_range(20, 60), "team-0",
                      static_cast<std::uint32_t>(random.in_range(1, 4)));
            j.bad = random.real(0, 1) < bad_jobs;
            shard.submit(j, now);
        }
        const bool was_quarantined = shard.policy().is_quarantined(suspect.id);
        const placement_output output = shard.step(now, {});
        if (was_quarantined && shard.policy().is_quarantined(suspect.id))
        {
            result.in_quarantine += fake_shard::step_length;
            result.starts_in_quarantine +=
                static_cast<std::uint64_t>(std::ranges::count(
                    output.placements, 3U, &task_placement::worker));
        }
    }
    for (const fake::worker& w : shard.workers())
    {
        result.quarantined.push_back(shard.policy().is_quarantined(w.id));
    }
    result.failures = shard.count().failures;
    return result;
}

std::uint64_t probes_allowed(const fleet_result& r)
{
    return static_cast<std::uint64_t>(r.in_quarantine / 60s) + 1;
}

std::size_t good_workers_quarantined(const fleet_result& r)
{
    return static_cast<std::size_t>(std::ranges::count(r.quarantined, true)) -
           (r.quarantined[3] ? 1U : 0U);
}

} // namespace

// Failure: a wave of failures sets the fleet aside.
RC_GTEST_PROP(worker_health, at_most_a_fifth_is_quarantined,
              (std::uint32_t seed))
{
    RC_ASSERT(quarantined_beyond_bound(seed, policy_options()) == 0U);
}

TEST(worker_health, check_notices_unbounded_quarantine)
{
    policy_options options;
    options.safeguards.bound_quarantine = false;
    EXPECT_TRUE(some_seed([&](std::uint32_t seed) {
        return quarantined_beyond_bound(seed, options) > 0;
    }));
}

// Failure: a worker that fails everything goes on getting work, or good
// workers are set aside with it.
TEST(worker_health, bad_worker_is_told_from_bad_jobs)
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed)
    {
        const fleet_result r = run_fleet(seed, policy_options(), true, 0.3);
        EXPECT_TRUE(r.quarantined[3]) << "seed " << seed;
        EXPECT_EQ(good_workers_quarantined(r), 0U) << "seed " << seed;
        EXPECT_LE(r.starts_in_quarantine, probes_allowed(r));
    }
}

// Failure: jobs that fail everywhere set workers aside.
TEST(worker_health, bad_jobs_quarantine_no_worker)
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed)
    {
        const fleet_result r = run_fleet(seed, policy_options(), false, 0.7);
        EXPECT_FALSE(r.quarantined[3]) << "seed " << seed;
        EXPECT_EQ(good_workers_quarantined(r), 0U) << "seed " << seed;
    }
}

TEST(worker_health, check_notices_workers_blamed_for_bad_jobs)
{
    policy_options options;
    options.safeguards.exonerate_workers = false;
    EXPECT_TRUE(some_seed([&](std::uint32_t seed) {
        return good_workers_quarantined(run_fleet(seed, options, false, 0.7)) >
               0;
    }));
}

TEST(worker_health, check_notices_placements_on_quarantined_workers)
{
    policy_options options;
    options.safeguards.avoid_quarantined = false;
    EXPECT_TRUE(some_seed([&](std::uint32_t seed) {
        const fleet_result r = run_fleet(seed, options, true, 0.3);
        return r.starts_in_quarantine > probes_allowed(r);
    }));
}

// Failure: a repaired worker stays set aside.
TEST(worker_health, worker_returns_after_a_successful_probe)
{
    worker_health health{policy_options()};
    const std::vector<std::uint64_t> workers{1, 2, 3, 4, 5};
    time_point now(100s);
    health.set_workers(workers, now);
    for (std::uint64_t job = 10; job < 13; ++job)
    {
        health.add_failure(1, job, now);
        health.add_success(2, job, 1s, now);
    }
    ASSERT_TRUE(health.is_quarantined(1));
    EXPECT_FALSE(health.is_probe_due(1, now + 59s));
    EXPECT_TRUE(health.is_probe_due(1, now + 60s));
    // A task that started before the quarantine proves nothing.
    health.add_success(1, 20, 30s, now + 10s);
    EXPECT_TRUE(health.is_quarantined(1));
    health.add_success(1, 21, 30s, now + 90s);
    EXPECT_FALSE(health.is_quarantined(1));
}
