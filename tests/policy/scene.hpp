// Classes and jobs that the tests submit to a fake shard.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "../../bench/policy/fake_shard.hpp"
#include "batch/target_policy.hpp"
#include "policy/random_source.hpp"

namespace hemlockdeal
{

struct scene
{
    scene() { urgent.urgent = true; }

    fake::job& add(const work_class& kind, std::size_t number_of_kind,
                   double cores, double run_time_s,
                   const std::string& team = "team-0", std::uint32_t tasks = 1)
    {
        auto j = std::make_unique<fake::job>();
        j->declared.id = job_id("job-" + std::to_string(jobs.size()));
        j->declared.team = team_id(team);
        j->declared.work_class = kind.id;
        j->declared.task_size = fake::cores_and_mb(cores, 1000);
        j->declared.declared_run_time =
            std::chrono::milliseconds(std::llround(run_time_s * 1000));
        j->declared.tasks = tasks;
        j->kind = &kind;
        j->number_of_kind = number_of_kind;
        j->used = j->declared.task_size;
        j->run_time_s = run_time_s;
        jobs.push_back(std::move(j));
        return *jobs.back();
    }

    static constexpr std::size_t service_number = 0;
    static constexpr std::size_t noisy_number = 1;
    static constexpr std::size_t batch_number = 2;

    work_class service{class_id("service"), class_kind::latency_critical,
                       std::chrono::milliseconds(800)};
    work_class noisy{class_id("noisy"), class_kind::batch,
                     std::chrono::hours(1)};
    work_class batch{class_id("batch"), class_kind::batch,
                     std::chrono::hours(1)};
    work_class urgent{class_id("urgent"), class_kind::batch,
                      std::chrono::hours(1)};
    std::vector<std::unique_ptr<fake::job>> jobs;
};

using fake_shard = fake::shard<target_policy>;

inline fake_shard make_shard(const policy_options& options, std::size_t workers,
                             const fake::slowdown_table& table = {})
{
    return fake_shard(target_policy(options),
                      fake::make_workers(workers, 16, 64'000), table);
}

// Steps until `end`; `each` gets the time and the output of each step.
template <typename Each>
void run_until(fake_shard& shard, time_point& now, time_point end,
               const Each& each)
{
    for (; now < end; now += fake_shard::step_length)
    {
        each(now, shard.step(now, {}));
    }
}

} // namespace hemlockdeal
