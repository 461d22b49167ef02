// Guards against waiting jobs whose reason is missing or wrong.
#include <gtest/gtest.h>

#include <set>

#include "policy/scene.hpp"

using namespace hemlockdeal;
using namespace std::chrono_literals;

namespace
{

std::string reason_of(fake_shard& shard, const fake::job& j)
{
    return shard.policy().waiting_reason(j.declared.id);
}

} // namespace

// Failure: an operator cannot see which resource is missing.
TEST(waiting_reason, names_the_missing_resource)
{
    scene s;
    fake_shard shard = make_shard(policy_options(), 2);
    time_point now(1s);
    fake::job& large = s.add(s.batch, scene::batch_number, 17, 60);
    fake::job& memory = s.add(s.batch, scene::batch_number, 1, 60);
    memory.declared.task_size.memory.value = 60'000;
    fake::job& processors = s.add(s.batch, scene::batch_number, 15, 60);
    fake::job& small = s.add(s.batch, scene::batch_number, 1, 60);
    for (std::size_t w = 0; w < 2; ++w)
    {
        fake::job& running = s.add(s.batch, scene::batch_number, 8, 600);
        running.declared.task_size.memory.value = 20'000;
        shard.run_on(running, w, now);
    }
    for (fake::job* j : {&large, &memory, &processors, &small})
    {
        shard.submit(*j, now);
    }
    shard.step(now, {});
    EXPECT_EQ(reason_of(shard, large),
              "no worker of the shard is large enough");
    EXPECT_EQ(reason_of(shard, memory), "no worker has enough free memory");
    EXPECT_EQ(reason_of(shard, processors),
              "no worker has enough free processors");
    EXPECT_EQ(reason_of(shard, small), "");
}

// Failure: a task that waits for the headroom looks like one that is too
// large.
TEST(waiting_reason, names_the_headroom)
{
    scene s;
    fake_shard shard = make_shard(policy_options(), 1);
    time_point now(1s);
    shard.run_on(s.add(s.batch, scene::batch_number, 14, 600), 0, now);
    fake::job& j = s.add(s.batch, scene::batch_number, 2, 60);
    shard.submit(j, now);
    shard.step(now, {});
    EXPECT_EQ(reason_of(shard, j),
              "the remaining capacity is kept free for urgent work");
}

// Failure: work that is kept away from a service has no reason.
TEST(waiting_reason, names_interference)
{
    fake::slowdown_table table{};
    table[scene::service_number][scene::noisy_number] = 3.0;
    scene s;
    fake_shard shard = make_shard(policy_options(), 1, table);
    time_point now(1s);
    shard.run_on(s.add(s.service, scene::service_number, 2, 1e9), 0, now);
    std::set<std::string> reasons;
    for (int step = 0; step < 4 * 1800; ++step, now += fake_shard::step_length)
    {
        if (step % 80 == 0 && shard.waiting_tasks().empty())
        {
            shard.submit(s.add(s.noisy, scene::noisy_number, 4, 40), now);
        }
        const double tail =
            0.6 * fake::tail_of(shard.slowdowns_of(scene::service_number));
        shard.step(now, {{s.service.id, tail}});
        reasons.insert(reason_of(shard, *s.jobs.back()));
    }
    EXPECT_TRUE(reasons.contains("interference: on the workers with room it "
                                 "would slow a service beyond its target"));
}
