// Guards against placements that a worker cannot hold.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "../../bench/policy/fake_shard.hpp"
#include "batch/target_policy.hpp"
#include "policy/random_source.hpp"

using namespace hemlockdeal;
using namespace std::chrono_literals;

namespace
{

struct scene
{
    work_class batch{class_id("batch"), class_kind::batch, 1h};
    work_class urgent{class_id("urgent"), class_kind::batch, 1h};
    std::vector<std::unique_ptr<fake::job>> jobs;
};

fake::job& add_job(scene& s, bool is_urgent, double cores, std::int64_t mb,
                   double run_time_s)
{
    auto j = std::make_unique<fake::job>();
    const std::size_t number = s.jobs.size();
    j->declared.id = job_id("job-" + std::to_string(number));
    j->declared.team = team_id("team-" + std::to_string(number % 3));
    j->kind = is_urgent ? &s.urgent : &s.batch;
    j->declared.work_class = j->kind->id;
    j->declared.task_size = fake::cores_and_mb(cores, mb);
    j->declared.tasks = 1 + number % 3;
    j->used = j->declared.task_size;
    j->run_time_s = run_time_s;
    s.jobs.push_back(std::move(j));
    return *s.jobs.back();
}

// Counts the placements that did not fit or went to a worker that does not
// accept starts.
std::uint64_t placements_beyond_free(std::uint32_t seed,
                                     const policy_options& options)
{
    random_source random(seed);
    scene s;
    s.urgent.urgent = true;
    fake::shard<target_policy> shard(target_policy(options),
                                     fake::make_workers(5, 16, 64'000), {});
    shard.quotas() = {{team_id("team-0"), 30.0, {}},
                      {team_id("team-1"), 30.0, {}}};
    time_point now(1s);
    for (int step = 0; step < 200; ++step, now += shard.step_length)
    {
        if (step % 4 == 0)
        {
            shard.submit(
                add_job(s, random.in_range(0, 8) == 0, random.in_range(1, 17),
                        random.in_range(100, 64'000), random.in_range(1, 120)),
                now);
        }
        shard.workers()[static_cast<std::size_t>(random.in_range(0, 5))]
            .accepts_starts = random.in_range(0, 4) != 0;
        shard.step(now, {});
    }
    return shard.count().beyond_free;
}

} // namespace

// Failure: a worker is committed beyond its processors or memory.
RC_GTEST_PROP(capacity, placements_stay_within_free_capacity,
              (std::uint32_t seed))
{
    RC_ASSERT(placements_beyond_free(seed, policy_options()) == 0U);
}

// The check above notices a policy that ignores free capacity.
TEST(capacity, check_notices_ignored_free_capacity)
{
    policy_options options;
    options.safeguards.stay_within_free = false;
    EXPECT_TRUE(some_seed([&](std::uint32_t seed) {
        return placements_beyond_free(seed, options) > 0;
    }));
}
