// Guards against an order of waiting work that serves fewer callers in time
// than the order by latest start does under overload.
#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "overload/overload.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::overload;
using std::chrono::milliseconds;

namespace
{

struct played_job
{
    milliseconds arrives{};
    milliseconds length{};
    int cores = 1;
    int priority = 0;

    milliseconds objective() const { return 2 * length + milliseconds(300); }
    milliseconds latest_start() const { return arrives + objective() - length; }
};

struct served
{
    int in_time = 0;
    int total = 0;
};

using order = std::function<double(const played_job&, milliseconds now)>;

// Jobs of two priorities arrive at one and a half times what `cores` can do.
std::vector<played_job> overload_of(int cores)
{
    std::vector<played_job> jobs;
    double demand = 0.0;
    for (int i = 0; demand < 1.5 * cores * 20'000; ++i)
    {
        const bool is_short = i % 2 == 0;
        // Lengths and arrivals that repeat only after 7 and 20 jobs.
        const milliseconds length(is_short ? 400 + 60 * (i % 7)
                                           : 1500 + 300 * (i % 7));
        const int width = is_short ? 4 : 12;
        demand += static_cast<double>(length.count()) * width;
        jobs.push_back({{}, length, width, is_short ? 0 : 2});
    }
    for (std::size_t i = 0; i < jobs.size(); ++i)
    {
        jobs[i].arrives = milliseconds(20'000 * i / jobs.size());
    }
    return jobs;
}

// Starts the waiting jobs in the order, each as soon as its cores are free, and
// counts those of the priority that end within their objective.
std::map<int, served> play(std::vector<played_job> jobs, int cores,
                           const order& key)
{
    std::map<int, served> out;
    std::vector<std::pair<milliseconds, int>> running;
    for (milliseconds now{}; !jobs.empty(); now += milliseconds(10))
    {
        std::erase_if(running, [&](const auto& run) {
            const bool has_ended = run.first <= now;
            cores += has_ended ? run.second : 0;
            return has_ended;
        });
        std::ranges::sort(jobs, {}, [&](const played_job& j) {
            return std::pair(j.arrives > now, key(j, now));
        });
        std::erase_if(jobs, [&](const played_job& j) {
            if (j.arrives > now || j.cores > cores)
            {
                return false;
            }
            cores -= j.cores;
            running.emplace_back(now + j.length, j.cores);
            ++out[j.priority].total;
            out[j.priority].in_time += now <= j.latest_start() ? 1 : 0;
            return true;
        });
    }
    return out;
}

// As the scheduler orders waiting work: what can no longer count goes last, and
// lower numbers of priority go first.
double by_cost(const played_job& j, milliseconds now)
{
    waiting_work work;
    work.objective = j.objective();
    work.slack = j.latest_start() - now;
    work.slack_when_late = work.slack + 2 * j.objective();
    work.core_seconds =
        std::chrono::duration<double>(j.length).count() * j.cores;
    constexpr double beyond_any_work = 1e6;
    const auto cost = work_per_loss(work);
    return cost == std::numeric_limits<double>::max()
               ? cost
               : cost + j.priority * beyond_any_work;
}

double by_latest_start(const played_job& j, milliseconds /*now*/)
{
    return static_cast<double>(j.latest_start().count());
}

} // namespace

// Failure: at one and a half times the capacity, work at a counter waits behind
// work that may wait.
TEST(cost_order_test, urgent_work_is_served_in_time_under_overload)
{
    constexpr int cores = 64;
    auto cost = play(overload_of(cores), cores, by_cost);
    auto latest_start = play(overload_of(cores), cores, by_latest_start);
    EXPECT_GE(cost[0].in_time, cost[0].total * 9 / 10);
    EXPECT_GT(cost[0].in_time, latest_start[0].in_time);
    EXPECT_GE(cost[0].in_time + cost[2].in_time,
              latest_start[0].in_time + latest_start[2].in_time);
}

// Failure: work is left out for good, so that accepted jobs do not end.
TEST(cost_order_test, all_work_is_served_in_the_end)
{
    constexpr int cores = 64;
    const auto jobs = overload_of(cores);
    auto cost = play(jobs, cores, by_cost);
    EXPECT_EQ(cost[0].total + cost[2].total, static_cast<int>(jobs.size()));
}

// Failure: a large job that is about to miss its objective goes before many
// small ones that would miss theirs instead.
TEST(cost_order_test, less_work_for_the_same_value_goes_first)
{
    waiting_work small{milliseconds(1000), milliseconds(100),
                       milliseconds(2100), 2.0};
    auto large = small;
    large.core_seconds = 20.0;
    EXPECT_LT(work_per_loss(small), work_per_loss(large));
}

// Failure: work with much time left goes before equal work with little.
TEST(cost_order_test, less_time_left_goes_first)
{
    waiting_work hurried{milliseconds(1000), milliseconds(50),
                         milliseconds(2050), 2.0};
    auto relaxed = hurried;
    relaxed.slack = milliseconds(900);
    EXPECT_LT(work_per_loss(hurried), work_per_loss(relaxed));
}

// Failure: work that only counts as late takes room from work that can be in
// time, or work that no longer counts takes room from both.
TEST(cost_order_test, late_and_lost_work_costs_more)
{
    waiting_work in_time{milliseconds(1000), milliseconds(50),
                         milliseconds(2050), 2.0};
    auto late = in_time;
    late.slack = milliseconds(-10);
    auto lost = late;
    lost.slack_when_late = milliseconds(-10);
    EXPECT_LT(work_per_loss(in_time), work_per_loss(late));
    EXPECT_LT(work_per_loss(late), work_per_loss(lost));
}
