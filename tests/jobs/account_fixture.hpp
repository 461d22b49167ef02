// Jobs of client accounts on workers whose runs take a while.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "scheduler_fixture.hpp"

namespace hemlockdeal::jobs::test
{

inline accounts::account_policy make_policy(const std::string& name,
                                            std::int64_t processor_millis = 0,
                                            std::int64_t weight = 1)
{
    return {account_id(name), weight, {processor_millis, 0, 0}};
}

inline accounts::account_directory
make_accounts(const std::vector<accounts::account_policy>& policies)
{
    std::vector<accounts::account_directory::entry> entries;
    entries.reserve(policies.size());
    for (const auto& policy : policies)
    {
        entries.push_back({policy, {}});
    }
    return accounts::account_directory(std::move(entries));
}

class account_test : public scheduler_test
{
protected:
    void adopt(const std::vector<accounts::account_policy>& policies)
    {
        limits.adopt(make_accounts(policies), now, configuration_delay);
        leader.set_account_limits(limits);
    }

    void add_job(const std::string& name,
                 const std::optional<accounts::account_policy>& account,
                 const step& s)
    {
        auto j = make_job(name, s);
        j.account = account;
        leader.add_job(j);
    }

    // Cores that the tasks use whose job name begins with this text.
    std::int64_t cores_of(const std::string& prefix) const
    {
        std::int64_t sum = 0;
        for (const auto& [worker, tasks] : running)
        {
            for (const auto& task : tasks)
            {
                const auto& job_name = task.task.job.value();
                sum += job_name.starts_with(prefix) ? cores.at(job_name) : 0;
            }
        }
        return sum;
    }

    step step_of(const std::string& job_name, std::uint32_t count,
                 std::int64_t cores_per_task)
    {
        cores[job_name] = cores_per_task;
        auto s = short_step(count);
        s.size.processor_millis = 1000 * cores_per_task;
        return s;
    }

    // Runs end `run_time` after the first report that could list them.
    void simulate_load(duration time, duration run_time)
    {
        const auto end = now + time;
        while (now < end)
        {
            simulate(std::chrono::milliseconds(20));
            for (auto& [worker, tasks] : running)
            {
                std::erase_if(tasks, [&, w = worker](const auto& task) {
                    const auto began =
                        began_at.try_emplace({task.task, task.run}, now);
                    if (now - began.first->second < run_time)
                    {
                        return false;
                    }
                    ended[w].push_back({++last_end[w], task.task, task.run,
                                        run_end::done, ""});
                    return true;
                });
            }
        }
    }

    static constexpr duration configuration_delay = std::chrono::seconds(4);
    account_limits limits;
    std::map<std::string, std::int64_t> cores;
    std::map<std::pair<task_key, std::uint32_t>, time_point> began_at;
    std::map<worker_id, std::uint64_t> last_end;
};

} // namespace hemlockdeal::jobs::test
