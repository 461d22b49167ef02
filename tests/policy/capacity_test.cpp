// Guards against placements that a worker cannot hold.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "policy/scene.hpp"

using namespace hemlockdeal;
using namespace std::chrono_literals;

namespace
{

// Counts the placements that did not fit or went to a worker that does not
// accept starts.
std::uint64_t placements_beyond_free(std::uint32_t seed,
                                     const policy_options& options)
{
    random_source random(seed);
    scene s;
    fake_shard shard = make_shard(options, 5);
    shard.quotas() = {{team_id("team-0"), 30.0, {}},
                      {team_id("team-1"), 30.0, {}}};
    time_point now(1s);
    for (int step = 0; step < 200; ++step, now += fake_shard::step_length)
    {
        if (step % 4 == 0)
        {
            fake::job& j =
                s.add(random.in_range(0, 8) == 0 ? s.urgent : s.batch,
                      scene::batch_number, random.in_range(1, 17),
                      random.in_range(1, 120),
                      "team-" + std::to_string(random.in_range(0, 3)),
                      static_cast<std::uint32_t>(random.in_range(1, 4)));
            j.declared.task_size.memory.value = random.in_range(100, 64'000);
            j.used.processors.value = random.in_range(100, 16'000);
            shard.submit(j, now);
        }
        shard.workers()[static_cast<std::size_t>(random.in_range(0, 5))]
            .accepts_starts = random.in_range(0, 4) != 0;
        shard.step(now, {});
    }
    return shard.count().beyond_free;
}

// Largest number of tasks of one job in a rack, with room everywhere.
std::size_t tasks_in_fullest_rack()
{
    scene s;
    fake_shard shard = make_shard(policy_options(), 24);
    shard.submit(s.add(s.batch, scene::batch_number, 1, 60, "team-0", 12),
                 time_point(1s));
    shard.step(time_point(1s), {});
    std::map<rack_id, std::size_t> tasks;
    for (const fake::worker& w : shard.workers())
    {
        tasks[w.rack] += w.tasks.size();
    }
    return std::ranges::max_element(
               tasks, {}, [](const auto& entry) { return entry.second; })
        ->second;
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

// Failure: one rack holds most of a job, and its failure stops the job.
TEST(capacity, tasks_of_a_job_are_spread_over_racks)
{
    EXPECT_EQ(tasks_in_fullest_rack(), 4U);
}
