// Compares the target policy with first fit and with least loaded on a fake
// fleet, and measures processor time and memory of the target policy.
// Usage: policy_bench [seeds] [minutes]
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <future>
#include <malloc.h>
#include <memory>
#include <string>
#include <vector>

#include "batch/first_fit_policy.hpp"
#include "batch/target_policy.hpp"
#include "fake_fleet.hpp"
#include "least_loaded_policy.hpp"

using namespace hemlockdeal;

namespace
{

double median(std::vector<double> values)
{
    std::ranges::sort(values);
    return values[values.size() / 2];
}

template <typename Member>
double median_of(const std::vector<fake::figures>& all, Member member)
{
    std::vector<double> values;
    values.reserve(all.size());
    for (const fake::figures& f : all)
    {
        values.push_back(f.*member);
    }
    return median(values);
}

template <placement_policy Policy>
void run(const char* name, const fake::deployment& d, const fake::workload& w,
         std::uint32_t seeds, duration length)
{
    // Three seeds at a time; each run is deterministic by itself.
    std::vector<fake::figures> all;
    for (std::uint32_t first = 1; first <= seeds; first += 3)
    {
        std::vector<std::future<fake::figures>> runs;
        for (std::uint32_t seed = first; seed < std::min(first + 3, seeds + 1);
             ++seed)
        {
            runs.push_back(
                std::async(std::launch::async, [&d, &w, seed, length] {
                    return fake::fleet<Policy>(d, w, seed).run(length);
                }));
        }
        for (std::future<fake::figures>& r : runs)
        {
            all.push_back(r.get());
        }
    }
    using fake::figures;
    std::printf(
        "| %s | %s | %s | %.2f | %.1f | %.1f | %.0f | %.2f | %.1f |\n",
        d.name.c_str(), w.name.c_str(), name, median_of(all, &figures::tail),
        100.0 * median_of(all, &figures::time_above),
        median_of(all, &figures::work), median_of(all, &figures::evictions),
        100.0 * median_of(all, &figures::missed),
        median_of(all, &figures::urgent_wait_s));
    std::fflush(stdout);
}

void compare(std::uint32_t seeds, duration length)
{
    const std::vector<fake::deployment> deployments{{"A", 50, 16.0, 64'000},
                                                    {"B", 65, 32.0, 125'000}};
    const std::vector<fake::workload> workloads{
        {"plain", 0.0, 1.0, false},
        {"interference", 1.0, 1.0, false},
        {"strong interference", 1.7, 1.0, false},
        {"wrong sizes", 1.0, 10.0, false},
        {"noise waves", 1.0, 1.0, true},
        {"all", 1.0, 10.0, true}};
    std::printf("| deployment | workload | policy | service p99 / target | "
                "time above target, %% | processors of finished work | "
                "evictions | missed batch targets, %% | longest urgent wait, "
                "s |\n|---|---|---|---|---|---|---|---|---|\n");
    for (const fake::deployment& d : deployments)
    {
        for (const fake::workload& w : workloads)
        {
            run<first_fit_policy>("first fit", d, w, seeds, length);
            run<fake::least_loaded_policy>("least loaded", d, w, seeds, length);
            run<target_policy>("target", d, w, seeds, length);
        }
    }
}

double processor_seconds()
{
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) +
           static_cast<double>(t.tv_nsec) * 1e-9;
}

std::size_t allocated_bytes()
{
    return mallinfo2().uordblks;
}

struct shard_size
{
    std::size_t workers = 0;
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::uint32_t tasks_per_job = 1;
};

// A full shard with teams, services and more work than fits.
void measure_cost(const shard_size& size)
{
    const work_class service{class_id("service"), class_kind::latency_critical,
                             std::chrono::milliseconds(800)};
    std::vector<work_class> classes;
    for (std::size_t i = 0; i < 8; ++i)
    {
        classes.push_back({class_id("class-" + std::to_string(i)),
                           class_kind::batch, std::chrono::hours(1)});
    }
    std::vector<std::unique_ptr<fake::job>> jobs;
    const auto add = [&](const work_class& c, std::size_t number) -> auto&
    {
        auto j = std::make_unique<fake::job>();
        const std::string text = std::to_string(1'000'000 + jobs.size());
        j->declared.id = job_id("job-2026-12-" + text);
        j->declared.team =
            team_id("team-" + std::to_string(1000 + jobs.size() % 240));
        j->declared.work_class = c.id;
        j->declared.tasks = size.tasks_per_job;
        j->declared.task_size = fake::cores_and_mb(0.7, 2000);
        j->used = j->declared.task_size;
        j->kind = &c;
        j->number_of_kind = number;
        j->run_time_s = 1e6;
        jobs.push_back(std::move(j));
        return *jobs.back();
    };
    // The fake gives the input; the measured policy is apart from it.
    fake::shard<fake::least_loaded_policy> shard(
        {}, fake::make_workers(size.workers, 16.0, 64'000), {});
    time_point now(std::chrono::seconds(1));
    for (std::size_t w = 0; w < size.workers; ++w)
    {
        shard.run_on(add(service, 0), w, now);
    }
    for (std::size_t i = size.workers; i < size.running; ++i)
    {
        shard.run_on(add(classes[i % 8], i % 7 + 1), i % size.workers, now);
    }
    for (std::size_t t = 0; t < 240; ++t)
    {
        shard.quotas().push_back(
            {team_id("team-" + std::to_string(1000 + t)), 100.0 / 240, {}});
    }
    for (std::size_t i = 0; i < size.waiting; i += size.tasks_per_job)
    {
        shard.submit(add(classes[i % 8], i % 7 + 1), now);
    }

    now += std::chrono::minutes(2);
    const std::vector<service_tail> tails{{service.id, 0.8}};
    placement_input input = shard.make_input(now, tails);
    const std::size_t before = allocated_bytes();
    auto policy = std::make_unique<target_policy>();
    double place_s = 0.0;
    double observe_s = 0.0;
    constexpr int calls = 200;
    for (int call = 0; call < calls; ++call)
    {
        input.now += std::chrono::milliseconds(250);
        double start = processor_seconds();
        policy->place(input);
        place_s += processor_seconds() - start;
        if (call % 20 != 0)
        {
            continue;
        }
        start = processor_seconds();
        for (const worker_view& worker : input.workers)
        {
            policy->observe(worker_observed{worker}, input.now);
        }
        observe_s += processor_seconds() - start;
    }
    const std::size_t bytes = allocated_bytes() - before;
    std::printf(
        "| %zu | %zu | %zu | %u | %.0f | %.2f | %zu | %.0f |\n", size.workers,
        size.running, size.waiting, size.tasks_per_job, place_s / calls * 1e6,
        // Four calls and a fifth of a round of reports each second.
        100.0 * (place_s / calls * 4.0 + observe_s / 10.0 / 5.0), bytes / 1024,
        static_cast<double>(bytes) /
            static_cast<double>(size.running + size.waiting));
}

void measure_costs()
{
    std::printf("\n| workers | running | waiting | tasks a job | place(), us | "
                "%% of a core a shard | state, KB | bytes a task |\n"
                "|---|---|---|---|---|---|---|---|\n");
    for (const shard_size& size : std::vector<shard_size>{{4, 40, 100, 1},
                                                          {10, 200, 500, 1},
                                                          {30, 600, 1000, 1},
                                                          {30, 600, 3000, 1},
                                                          {30, 600, 3000, 10},
                                                          {60, 1200, 6000, 1}})
    {
        measure_cost(size);
    }
}

} // namespace

int main(int argc, char** argv)
{
    const auto argument = [&](int n, int otherwise) {
        return argc > n ? std::atoi(argv[n]) : otherwise;
    };
    const auto seeds = static_cast<std::uint32_t>(argument(1, 5));
    if (seeds > 0)
    {
        compare(seeds, std::chrono::minutes(argument(2, 60)));
    }
    measure_costs();
    return 0;
}
