// Guards against fill tasks that keep a serving task above its target (3 of 40
// simulated days had HARM), and against pressure attributed to images that only
// happen to be present.
#include <algorithm>
#include <cmath>
#include <random>

#include <gtest/gtest.h>

#include "jobs/fill_suspender.hpp"
#include "jobs/interference_model.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using std::chrono::milliseconds;

namespace
{

constexpr double base_tail_ms = 4.0;
constexpr std::int64_t worker_millis = 16000;

class interference_test : public testing::Test
{
protected:
    fleet_worker make_worker(const std::string& name)
    {
        worker_entry entry;
        entry.id = worker_id(name);
        entry.capacity = {worker_millis, 64000, 0};
        return fleet_worker(entry);
    }

    run_record make(const std::string& image, std::int64_t millis)
    {
        step s;
        s.image = image;
        s.size = {millis, 1000, 0};
        auto run = make_run(s, 1, now - std::chrono::seconds(10));
        run.confirmed_at = now - std::chrono::seconds(10);
        return run;
    }

    void add_fill(fleet_worker& worker, std::uint32_t index,
                  const std::string& image, std::int64_t millis)
    {
        auto run = make(image, millis);
        run.fills = true;
        run.measurement = millis;
        worker.add_run({job_id("fill"), 0, 0, index}, run);
    }

    void add_serving(fleet_worker& worker, std::uint32_t index, double tail_ms)
    {
        auto run = make("serving", 3000);
        run.is_long_running = true;
        run.tail_target = milliseconds(18);
        run.percent = 100;
        run.measurement = static_cast<std::int64_t>(tail_ms);
        worker.add_run({job_id("serve"), 0, 0, index}, run);
    }

    time_point now{std::chrono::seconds(500)};
};

double tail_at(double load, double slowdown)
{
    return base_tail_ms / (1.0 - std::min(0.99, load * slowdown));
}

} // namespace

// Failure: an image with low pressure is attributed the slowdown of one with
// high pressure, because both ran at the same time.
TEST_F(interference_test, heavy_and_light_images_are_distinguished)
{
    interference_model model;
    std::mt19937 random(7);
    for (int round = 0; round < 400; ++round)
    {
        now += milliseconds(100);
        const double load = 0.42 * (1.0 + 0.5 * std::sin(0.0628 * round));
        for (std::uint32_t w = 0; w < 6; ++w)
        {
            auto worker = make_worker("w");
            const std::int64_t heavy = random() % 3 == 0 ? 1200 : 0;
            const std::int64_t light = random() % 2 == 0 ? 3000 : 0;
            const double slowdown = 1.0 + (7.0 * static_cast<double>(heavy) +
                                           0.5 * static_cast<double>(light)) /
                                              worker_millis;
            add_serving(worker, w, tail_at(load, slowdown));
            if (heavy > 0)
            {
                add_fill(worker, 0, "heavy", heavy);
            }
            if (light > 0)
            {
                add_fill(worker, 1, "light", light);
            }
            model.learn(worker, now);
        }
    }
    const auto serving = to_image_hash("serving");
    EXPECT_GT(model.pressure(to_image_hash("heavy"), serving), 3.5);
    EXPECT_LT(model.pressure(to_image_hash("light"), serving), 2.0);
}

// Failure: fill tasks that used more processors than the worker now has, since
// its capacity has shrunk, count as many times that capacity, and the learnt
// pressure falls towards zero.
TEST_F(interference_test, use_above_a_shrunken_capacity_teaches_nothing)
{
    constexpr double load = 0.4;
    constexpr std::int64_t heavy = 4000;
    const double slowdown = 1.0 + 5.0 * heavy / worker_millis;
    const auto heavy_image = to_image_hash("heavy");
    const auto serving = to_image_hash("serving");
    interference_model model;
    const auto observe = [&](std::int64_t capacity) {
        now += milliseconds(100);
        auto alone = make_worker("alone");
        add_serving(alone, 0, tail_at(load, 1.0));
        model.learn(alone, now);
        auto worker = make_worker("w");
        worker.entry.capacity.processor_millis = capacity;
        add_serving(worker, 1, tail_at(load, slowdown));
        add_fill(worker, 0, "heavy", heavy);
        model.learn(worker, now);
    };
    for (int i = 0; i < 100; ++i)
    {
        observe(worker_millis);
    }
    const double learnt = model.pressure(heavy_image, serving);
    ASSERT_GT(learnt, 2.0);
    for (const std::int64_t capacity : {1000, 0, -1000})
    {
        for (int i = 0; i < 10; ++i)
        {
            observe(capacity);
        }
        EXPECT_GT(model.pressure(heavy_image, serving), learnt / 2) << capacity;
    }
}

// Failure: learnt pressures are lost when the leader changes, or by an invalid
// stored text.
TEST_F(interference_test, learnt_pressures_are_restored)
{
    interference_model model;
    auto worker = make_worker("w");
    add_serving(worker, 0, 5.0);
    add_fill(worker, 0, "f", 4000);
    for (int i = 0; i < 50; ++i)
    {
        now += milliseconds(100);
        model.learn(worker, now);
    }
    interference_model next;
    next.restore(model.encode());
    EXPECT_EQ(next.encode(), model.encode());
    next.restore("no json");
    EXPECT_EQ(next.encode(), model.encode());
}

// Failure: learnt pressures become weaker with each leader that restores them.
TEST_F(interference_test, stored_pressures_do_not_drift)
{
    const std::string stored = R"({"5":{"t":4E0,"p":{"7":5.8E-1}}})";
    interference_model first;
    first.restore(stored);
    EXPECT_EQ(first.encode(), stored);
    interference_model excessive;
    excessive.restore(R"({"5":{"t":4E0,"p":{"7":3E9}}})");
    EXPECT_EQ(excessive.encode(), R"({"5":{"t":4E0,"p":{"7":3E9}}})");
}

// Failure: fill tasks keep running beside a serving task that stays above its
// target.
TEST_F(interference_test, all_fill_tasks_stop_beside_task_over_target_too_long)
{
    scheduler_state state;
    auto worker = make_worker("w");
    add_serving(worker, 0, 40.0);
    add_fill(worker, 0, "f", 1000);
    add_fill(worker, 1, "g", 1000);
    auto& serving = *worker.find_run({job_id("serve"), 0, 0, 0});
    serving.over_since = now - milliseconds(2100);
    fill_suspender(state).adjust(worker, now);
    ASSERT_EQ(state.orders.size(), 2U);
    EXPECT_TRUE(std::ranges::all_of(state.orders, [](const order& o) {
        const auto* const pace = std::get_if<pace_order>(&o);
        return pace != nullptr && pace->percent == 0;
    }));
}

// Failure: a suspended fill task never resumes, because the serving task beside
// it has left the worker and nothing adjusts the pace any more.
TEST_F(interference_test, suspended_fill_task_resumes_without_serving_tasks)
{
    scheduler_state state;
    auto worker = make_worker("w");
    add_fill(worker, 0, "f", 1000);
    worker.set_pace(*worker.find_run({job_id("fill"), 0, 0, 0}), 0, now);
    fill_suspender(state).adjust(worker, now);
    ASSERT_EQ(state.orders.size(), 1U);
    const auto* const pace = std::get_if<pace_order>(&state.orders.front());
    ASSERT_NE(pace, nullptr);
    EXPECT_EQ(pace->percent, 100);
}

// Failure: a fill task that the earlier leader suspended stays suspended,
// because the new leader takes it to run at full pace.
TEST_F(interference_test, adopted_fill_task_is_set_to_full_pace)
{
    scheduler_state state;
    auto worker = make_worker("w");
    add_serving(worker, 0, 5.0);
    add_fill(worker, 0, "f", 1000);
    auto& adopted = *worker.find_run({job_id("fill"), 0, 0, 0});
    adopted.is_adopted = true;
    adopted.measurement = 0;
    fill_suspender(state).adjust(worker, now);
    ASSERT_EQ(state.orders.size(), 1U);
    const auto* const pace = std::get_if<pace_order>(&state.orders.front());
    ASSERT_NE(pace, nullptr);
    EXPECT_EQ(pace->percent, 100);
    state.orders.clear();
    fill_suspender(state).adjust(worker, now);
    EXPECT_TRUE(state.orders.empty());
}

// Failure: fill tasks are suspended by a serving task that is over its target
// for a moment only; suspending them costs more than it saves.
TEST_F(interference_test, fill_tasks_run_on_beside_a_task_briefly_over_target)
{
    scheduler_state state;
    auto worker = make_worker("w");
    add_serving(worker, 0, 40.0);
    add_fill(worker, 0, "f", 1000);
    worker.find_run({job_id("serve"), 0, 0, 0})->over_since =
        now - milliseconds(1500);
    fill_suspender(state).adjust(worker, now);
    EXPECT_TRUE(state.orders.empty());
}

// Failure: fill tasks are slowed although the serving task has headroom.
TEST_F(interference_test, fill_tasks_keep_full_pace_beside_tasks_with_headroom)
{
    scheduler_state state;
    auto worker = make_worker("w");
    add_serving(worker, 0, 5.0);
    add_fill(worker, 0, "f", 500);
    for (int i = 0; i < 20; ++i)
    {
        now += milliseconds(100);
        state.interference.learn(worker, now);
    }
    fill_suspender(state).adjust(worker, now);
    EXPECT_TRUE(state.orders.empty());
}
