// Guards against too many evictions, against flapping, and against urgent
// work that waits.
#include <gtest/gtest.h>

#include "policy/scene.hpp"

using namespace hemlockdeal;
using namespace std::chrono_literals;

namespace
{

// Evictions beyond a bound of any minute, counted independently of the policy.
class eviction_counter
{
public:
    void add(const placement_output& output, std::size_t running,
             time_point now)
    {
        std::erase_if(recent_,
                      [&](const auto& e) { return e.first + 1min <= now; });
        for (const task_eviction& e : output.evictions)
        {
            recent_.emplace_back(now, e.worker);
            ++total_;
            const auto limit = std::max<std::size_t>(1, running * 5 / 100);
            const auto on_worker = std::ranges::count(
                recent_, e.worker, [](const auto& r) { return r.second; });
            beyond_shard_ += recent_.size() > limit ? 1U : 0U;
            beyond_worker_ += on_worker > 2 ? 1U : 0U;
        }
    }

    std::size_t total() const { return total_; }
    std::size_t beyond_shard() const { return beyond_shard_; }
    std::size_t beyond_worker() const { return beyond_worker_; }

private:
    std::vector<std::pair<time_point, std::uint32_t>> recent_;
    std::size_t total_ = 0;
    std::size_t beyond_shard_ = 0;
    std::size_t beyond_worker_ = 0;
};

std::size_t running_tasks(fake_shard& shard)
{
    std::size_t tasks = 0;
    for (const fake::worker& w : shard.workers())
    {
        tasks += w.tasks.size();
    }
    return tasks;
}

void add_services(scene& s, fake_shard& shard, time_point now)
{
    fake::job& service = s.add(s.service, scene::service_number, 2, 1e9);
    for (std::size_t w = 0; w < shard.workers().size(); ++w)
    {
        shard.run_on(service, w, now);
    }
}

// Random tails, mostly too high, over teams of which one waits below its
// quota.
eviction_counter run_bad_tails(std::uint32_t seed,
                               const policy_options& options)
{
    random_source random(seed);
    scene s;
    fake_shard shard = make_shard(options, 10);
    shard.quotas() = {{team_id("team-0"), 30.0, {}},
                      {team_id("team-1"), 70.0, {}}};
    time_point now(1s);
    add_services(s, shard, now);
    eviction_counter counter;
    double tail = 1.2;
    for (int step = 0; step < 1200; ++step, now += fake_shard::step_length)
    {
        if (step % 3 == 0)
        {
            shard.submit(
                s.add(random.in_range(0, 2) == 0 ? s.noisy : s.batch,
                      scene::noisy_number, random.in_range(1, 5),
                      random.real(10, 400),
                      random.in_range(0, 4) == 0 ? "team-1" : "team-0"),
                now);
        }
        if (random.in_range(0, 60) == 0)
        {
            tail = random.real(0.5, 2.0);
        }
        const std::size_t running = running_tasks(shard);
        counter.add(shard.step(now, {{s.service.id, tail}}), running, now);
    }
    return counter;
}

// Noisy work on one worker in waves of 90 s, while every wave raises the tail.
// Returns evictions in 2 hours.
std::size_t evictions_under_waves(const policy_options& options)
{
    scene s;
    fake_shard shard = make_shard(options, 1);
    time_point now(1s);
    add_services(s, shard, now);
    shard.submit(s.add(s.noisy, scene::noisy_number, 4, 1e6), now);
    eviction_counter counter;
    for (int step = 0; step < 4 * 7200; ++step, now += fake_shard::step_length)
    {
        const bool wave = step / 360 % 2 == 0;
        const bool noisy = shard.waiting_tasks().empty();
        counter.add(
            shard.step(now, {{s.service.id, wave && noisy ? 1.4 : 0.5}}), 2,
            now);
    }
    return counter.total();
}

struct urgent_result
{
    duration longest_wait{};
    std::size_t evictions = 0;
};

// A full shard, and one urgent task each 30 s.
urgent_result run_urgent(const policy_options& options, double cores)
{
    scene s;
    fake_shard shard = make_shard(options, 8);
    time_point now(1s);
    shard.submit(s.add(s.batch, scene::batch_number, 2, 3600, "team-0", 200),
                 now);
    run_until(shard, now, now + 120s, [](time_point, const auto&) {});
    urgent_result result;
    for (int i = 0; i < 10; ++i)
    {
        shard.submit(s.add(s.urgent, scene::batch_number, cores, 20), now);
        run_until(shard, now, now + 30s,
                  [&](time_point, const placement_output& output) {
                      result.evictions += output.evictions.size();
                  });
    }
    result.longest_wait = shard.waiting_tasks().front().of->kind == &s.urgent
                              ? 1h
                              : shard.count().longest_urgent_wait;
    return result;
}

} // namespace

// Failure: the protection of services stops more work than it may.
TEST(eviction, bounds_hold_in_any_minute)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed)
    {
        const eviction_counter c = run_bad_tails(seed, policy_options());
        EXPECT_EQ(c.beyond_shard(), 0U) << "seed " << seed;
        EXPECT_EQ(c.beyond_worker(), 0U) << "seed " << seed;
    }
}

TEST(eviction, check_notices_unbounded_evictions)
{
    policy_options options;
    options.safeguards.bound_evictions = false;
    EXPECT_TRUE(some_seed([&](std::uint32_t seed) {
        return run_bad_tails(seed, options).beyond_shard() > 0;
    }));
    EXPECT_TRUE(some_seed([&](std::uint32_t seed) {
        return run_bad_tails(seed, options).beyond_worker() > 0;
    }));
}

// Failure: work that comes in waves is evicted and started again in each.
// The time before a return doubles from 60 s, which allows 7 returns in 2 h.
TEST(eviction, waves_of_noise_do_not_flap)
{
    policy_options options;
    EXPECT_LE(evictions_under_waves(options), 8U);
    // Without the prediction only the return time keeps the work away.
    options.tail_predicted_at_most = 1e6;
    const std::size_t without_prediction = evictions_under_waves(options);
    EXPECT_GE(without_prediction, 2U);
    EXPECT_LE(without_prediction, 8U);
}

TEST(eviction, check_notices_a_constant_return_time)
{
    policy_options options;
    options.tail_predicted_at_most = 1e6;
    options.safeguards.grow_return_time = false;
    EXPECT_GT(evictions_under_waves(options), 8U);
}

// Failure: urgent work waits longer than 1 s, or evicts although the headroom
// (5% of 8 workers of 16 cores are 6.4 cores) holds it.
TEST(eviction, urgent_work_starts_in_the_headroom)
{
    const urgent_result r = run_urgent(policy_options(), 4);
    EXPECT_LE(r.longest_wait, 1s);
    EXPECT_EQ(r.evictions, 0U);
}

// Failure: urgent work that is larger than the headroom waits.
TEST(eviction, urgent_work_evicts_when_the_headroom_is_too_small)
{
    const urgent_result r = run_urgent(policy_options(), 12);
    EXPECT_LE(r.longest_wait, 1s);
    EXPECT_GE(r.evictions, 1U);
}

TEST(eviction, check_notices_missing_headroom)
{
    policy_options options;
    options.safeguards.keep_headroom = false;
    EXPECT_GT(run_urgent(options, 4).evictions, 0U);
}

// Failure: the task that ran longest since its checkpoint is evicted.
TEST(eviction, work_that_loses_least_is_evicted)
{
    scene s;
    fake_shard shard = make_shard(policy_options(), 1);
    time_point now(1s);
    shard.run_on(s.add(s.batch, scene::batch_number, 7, 3600), 0, now);
    shard.run_on(s.add(s.batch, scene::batch_number, 7, 3600), 0, now + 20s);
    now += 30s;
    shard.submit(s.add(s.urgent, scene::batch_number, 8, 10), now);
    const placement_output output = shard.step(now, {});
    ASSERT_EQ(output.evictions.size(), 1U);
    EXPECT_EQ(output.evictions.front().running, 1U);
}

// Failure: a throttle stays on, or is not tried before an eviction.
TEST(eviction, throttles_first_then_evicts_and_resumes)
{
    scene s;
    fake_shard shard = make_shard(policy_options(), 1);
    time_point now(10s);
    add_services(s, shard, now);
    shard.run_on(s.add(s.noisy, scene::noisy_number, 4, 1e6), 0, now);
    shard.run_on(s.add(s.noisy, scene::noisy_number, 3, 1e6), 0, now);
    const auto shares = [&] {
        return std::pair(shard.workers()[0].tasks[1].share,
                         shard.workers()[0].tasks[2].share);
    };
    shard.step(now, {{s.service.id, 0.95}});
    EXPECT_EQ(shares(), std::pair(0.25, 1.0));
    // Between both limits nothing changes.
    for (int i = 0; i < 100; ++i)
    {
        now += fake_shard::step_length;
        shard.step(now, {{s.service.id, 0.8}});
    }
    EXPECT_EQ(shares(), std::pair(0.25, 1.0));
    now += fake_shard::step_length;
    shard.step(now, {{s.service.id, 0.6}});
    EXPECT_EQ(shares(), std::pair(1.0, 1.0));
    std::size_t evictions = 0;
    const time_point high_since = now;
    while (evictions == 0 && now < high_since + 60s)
    {
        now += fake_shard::step_length;
        evictions += shard.step(now, {{s.service.id, 1.1}}).evictions.size();
    }
    EXPECT_GE(now - high_since, 10s);
    EXPECT_LE(now - high_since, 14s);
}
