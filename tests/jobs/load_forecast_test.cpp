// Guards against forecasts that keep fill tasks waiting beside serving tasks
// with headroom, or that miss a rise of the load.
#include <cmath>
#include <numbers>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "jobs/load_forecast.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using std::chrono::milliseconds;

namespace
{

const job_id serving("serving");
constexpr duration report_interval = milliseconds(100);

// Swings around `mean` by `swing` with this period.
double load_at(double mean, double swing, double period_s, time_point at)
{
    const double seconds =
        std::chrono::duration<double>(at.time_since_epoch()).count();
    return mean + swing * std::sin(2.0 * std::numbers::pi * seconds / period_s);
}

} // namespace

// Failure: a rising load is extrapolated beyond the peak that it had in earlier
// swings.
RC_GTEST_PROP(load_forecast_property, does_not_exceed_an_earlier_peak, ())
{
    const double mean = *rc::gen::inRange(30, 55) / 100.0;
    const double swing = *rc::gen::inRange(10, 25) / 100.0;
    const double period_s = *rc::gen::inRange(6, 30);
    load_forecast forecast;
    time_point now{std::chrono::seconds(100)};
    const auto period = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(period_s));
    const auto begin = now;
    while (now < begin + 3 * period)
    {
        now += report_interval;
        forecast.observe(serving, load_at(mean, swing, period_s, now), now);
        const double peak = forecast.peak(serving, now);
        RC_ASSERT(peak >= forecast.median(serving, now));
        if (now > begin + 2 * period)
        {
            RC_ASSERT(peak <= mean + swing + 1e-9);
        }
    }
}

// Failure: the first rise of a job's load is not foreseen, because no peak has
// been seen yet.
TEST(load_forecast_test, first_rise_is_extrapolated)
{
    load_forecast forecast;
    time_point now{std::chrono::seconds(100)};
    double load = 0.3;
    for (int i = 0; i < 30; ++i)
    {
        now += report_interval;
        load += 0.01;
        forecast.observe(serving, load, now);
    }
    EXPECT_GT(forecast.peak(serving, now), load + 0.05);
}

// Failure: a higher load than ever before is forecast below its present value.
TEST(load_forecast_test, present_load_raises_the_peak)
{
    load_forecast forecast;
    time_point now{std::chrono::seconds(100)};
    const auto observe = [&](double load) {
        for (int i = 0; i < 10; ++i)
        {
            now += report_interval;
            forecast.observe(serving, load, now);
            forecast.median(serving, now);
        }
    };
    observe(0.5);
    observe(0.3);
    observe(0.8);
    EXPECT_GE(forecast.peak(serving, now), 0.8);
}

TEST(load_forecast_test, unknown_job_has_a_default_load)
{
    const load_forecast forecast;
    const time_point now{std::chrono::seconds(1)};
    EXPECT_EQ(forecast.peak(serving, now), forecast.median(serving, now));
}
