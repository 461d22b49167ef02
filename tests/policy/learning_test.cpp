// Guards against estimates and slowdowns that do not follow what is measured.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "policy/scene.hpp"

using namespace hemlockdeal;
using namespace std::chrono_literals;

namespace
{

// Quotient of estimate and true value; the larger of both directions.
double wrong_by(double estimate, double truth)
{
    return std::max(estimate / truth, truth / estimate);
}

struct estimate_errors
{
    double run_time = 0.0;
    double processors = 0.0;
};

// All jobs of a class are declared wrong by about `declared_error`.
estimate_errors errors_after_running(std::uint32_t seed,
                                     const policy_options& options,
                                     double declared_error)
{
    random_source random(seed);
    scene s;
    fake_shard shard = make_shard(options, 5);
    const double run_time_s = random.real(20, 60);
    time_point now(1s);
    const auto add = [&]() -> fake::job& {
        fake::job& j = s.add(s.batch, scene::batch_number, 1,
                             run_time_s * random.error(1.2));
        j.used.processors.value = std::llround(500.0 * random.error(1.2));
        j.declared.declared_run_time = std::chrono::milliseconds(
            std::llround(run_time_s * 1000.0 * declared_error));
        j.declared.task_size.processors.value =
            std::llround(500.0 * declared_error);
        return j;
    };
    for (int step = 0; step < 2400; ++step, now += fake_shard::step_length)
    {
        if (step % 20 == 0)
        {
            shard.submit(add(), now);
        }
        shard.step(now, {});
    }
    const task_estimate e = shard.policy().estimator().estimate(add().declared);
    return {
        wrong_by(std::chrono::duration<double>(e.run_time).count(), run_time_s),
        wrong_by(static_cast<double>(e.used.processors.value), 500.0)};
}

// Coefficient learnt from noisy progress next to a neighbour that comes and
// goes at random.
double learnt_coefficient(std::uint32_t seed, double truth)
{
    random_source random(seed);
    interference_model model;
    for (int task = 0; task < 40; ++task)
    {
        rate_series series;
        const double own_rate = random.error(10.0);
        for (int report = 0; report < 20; ++report)
        {
            class_loads neighbours{};
            neighbours[1] = static_cast<float>(random.real(0.0, 0.6));
            neighbours[2] = static_cast<float>(random.real(0.0, 0.3));
            const double rate =
                own_rate * random.error(1.1) * std::exp(-truth * neighbours[1]);
            rate_difference difference;
            if (series.add(static_cast<float>(std::log(rate)), neighbours,
                           difference))
            {
                model.learn(0, difference);
            }
        }
    }
    return static_cast<double>(model.coefficient(0, 1));
}

// Mean number of noisy tasks, in the second half of an hour, next to the only
// service, which suffers from
// them. The other worker has room for four of the five that run on average.
double noisy_neighbours(const policy_options& options)
{
    fake::slowdown_table table{};
    table[scene::service_number][scene::noisy_number] = 3.0;
    scene s;
    fake_shard shard = make_shard(options, 2, table);
    time_point now(1s);
    shard.run_on(s.add(s.service, scene::service_number, 2, 1e9), 0, now);
    double tasks = 0.0;
    constexpr int steps = 4 * 3600;
    for (int step = 0; step < steps; ++step, now += fake_shard::step_length)
    {
        if (step % 32 == 0)
        {
            shard.submit(s.add(s.noisy, scene::noisy_number, 4, 40), now);
        }
        const double tail =
            0.6 * fake::tail_of(shard.slowdowns_of(scene::service_number));
        shard.step(now, {{s.service.id, tail}});
        tasks += step < steps / 2
                     ? 0.0
                     : static_cast<double>(shard.workers()[0].tasks.size() - 1);
    }
    return tasks / (steps / 2.0);
}

} // namespace

// Failure: declared values that are wrong by ten times mislead the estimates
// for good.
TEST(learning, estimates_converge_when_declared_values_are_wrong)
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed)
    {
        for (const double declared_error : {0.1, 10.0})
        {
            const estimate_errors e =
                errors_after_running(seed, policy_options(), declared_error);
            EXPECT_LE(e.run_time, 1.5) << seed << ", " << declared_error;
            EXPECT_LE(e.processors, 1.5) << seed << ", " << declared_error;
        }
    }
}

TEST(learning, check_notices_estimates_that_stay_at_declared_values)
{
    policy_options options;
    options.safeguards.learn = false;
    EXPECT_GT(errors_after_running(1, options, 10.0).run_time, 1.5);
    EXPECT_GT(errors_after_running(1, options, 0.1).processors, 1.5);
}

// Failure: teams and classes that come and go fill the memory.
TEST(learning, number_of_estimates_is_bounded)
{
    run_time_estimator estimator;
    scene s;
    for (int team = 0; team < 5000; ++team)
    {
        const fake::job& j = s.add(s.batch, scene::batch_number, 1, 60,
                                   "team-" + std::to_string(team));
        estimator.add_run_time(j.declared, 60s);
    }
    EXPECT_LE(estimator.cells(), 2048U);
}

// Failure: the model blames the wrong class, or the wrong amount.
RC_GTEST_PROP(learning, slowdowns_are_learnt_from_noisy_progress,
              (std::uint32_t seed))
{
    RC_ASSERT(std::abs(learnt_coefficient(seed, 2.0) - 2.0) < 0.5);
    RC_ASSERT(learnt_coefficient(seed, 0.0) < 0.5);
}

// Failure: noisy work is placed next to a service again and again.
TEST(learning, noisy_work_stays_away_from_the_service)
{
    // Without times before a return, only the prediction keeps it away.
    policy_options options;
    options.safeguards.grow_return_time = false;
    options.first_return_time = 1s;
    const double with_learning = noisy_neighbours(options);
    options.safeguards.learn = false;
    const double without = noisy_neighbours(options);
    EXPECT_LT(with_learning, 0.02);
    EXPECT_GT(without, 0.1) << "the check would not notice missing learning";
}
