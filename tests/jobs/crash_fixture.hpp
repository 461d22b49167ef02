// A small fleet whose tasks crash their workers, and its leaders.
#pragma once

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "jobs/jobs.hpp"

namespace hemlockdeal::jobs::test
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int worker_count = 6;
// Time from the crash of a worker to the start of the next one on its VM.
constexpr duration restart_time = milliseconds(3300);
constexpr duration crash_delay = milliseconds(10);

class crash_attribution_test : public testing::Test
{
protected:
    crash_attribution_test() { start_leader(1); }

    void start_leader(std::uint64_t epoch)
    {
        leader = std::make_unique<scheduler>(scheduler_options{}, epoch);
        leader->set_services({{service_id("s"), {}}});
        for (const auto& [id, definition] : submitted)
        {
            const auto row = progress_rows.find(id);
            leader->recover_job(definition, row == progress_rows.end()
                                                ? std::nullopt
                                                : decode_progress(row->second));
        }
        for (const auto& [number, workers] : fleet_rows)
        {
            leader->recover_fleet(workers);
        }
        for (const auto& [id, entry] : listed)
        {
            leader->set_worker(entry, now);
        }
        leader->begin(now, {.last_has_ended = true});
    }

    void add_worker(const std::string& name, const std::string& vm)
    {
        worker_entry e;
        e.id = worker_id(name);
        e.service = service_id("s");
        e.vm = vm_id(vm);
        e.zone = availability_zone_id("z");
        e.labels = {"rack-" + vm};
        e.capacity = {8000, 64000, 0};
        e.incarnation = 1;
        listed[e.id] = e;
        leader->set_worker(e, now);
    }

    void add_workers()
    {
        for (int i = 0; i < worker_count; ++i)
        {
            add_worker("w" + std::to_string(i), "vm-" + std::to_string(i));
        }
    }

    void add_job(const std::string& name, std::uint32_t tasks = 1,
                 bool is_long_running = false)
    {
        step s;
        s.task_count = tasks;
        s.size = {1000, 1000, 0};
        s.estimate = seconds(20);
        s.is_long_running = is_long_running;
        job j;
        j.id = job_id(name);
        j.policy.service = service_id("s");
        j.policy.max_attempts = 2;
        j.steps = {s};
        submitted[j.id] = j;
        leader->add_job(j);
    }

    void crash(const worker_id& id)
    {
        const auto vm = listed.at(id).vm;
        running[id].clear();
        crashed.insert(id);
        if (polls_in_progress.contains(id))
        {
            polls_in_progress.erase(id);
            leader->on_poll_failed(id, now);
        }
        restarts.emplace_back(now + restart_time, id);
    }

    void restart_crashed_workers()
    {
        const auto is_due = [&](const auto& entry) {
            return entry.first <= now;
        };
        std::vector<std::pair<time_point, worker_id>> due;
        std::ranges::copy_if(restarts, std::back_inserter(due), is_due);
        std::erase_if(restarts, is_due);
        for (const auto& [at, id] : due)
        {
            const auto vm = listed.at(id).vm;
            listed.erase(id);
            leader->remove_worker(id, now);
            if (returns)
            {
                add_worker(id.value() + "'", vm.value());
            }
        }
    }

    void simulate(duration time)
    {
        const auto end = now + time;
        while (now < end)
        {
            now += crash_delay;
            restart_crashed_workers();
            crash_workers();
            answer_polls();
            for (const auto& o : leader->decide(now, milliseconds(0), {}))
            {
                respond(o);
            }
            if (leader->has_changes())
            {
                const auto changes = leader->take_changes();
                for (const auto& [id, text] : changes.jobs)
                {
                    progress_rows[id] = text;
                }
                for (const auto& part : changes.fleet)
                {
                    fleet_rows[part.number] =
                        *decode_fleet(encode_fleet(part.workers));
                }
                leader->on_changes_stored(now);
            }
        }
    }

    void crash_workers()
    {
        std::vector<worker_id> due;
        for (const auto& [id, tasks] : running)
        {
            const bool is_crashed =
                std::ranges::any_of(tasks, [&](const running_task& task) {
                    return crashing.contains(task.task.job) &&
                           now - started_at[{task.task, task.run}] >=
                               crashing[task.task.job];
                });
            if (is_crashed)
            {
                due.push_back(id);
            }
        }
        std::ranges::for_each(due, [&](const worker_id& id) { crash(id); });
    }

    void answer_polls()
    {
        for (const auto& [id, until] : std::exchange(polls_in_progress, {}))
        {
            if (until > now)
            {
                polls_in_progress[id] = until;
                continue;
            }
            jobs::worker_report report;
            report.clock = std::chrono::duration_cast<worker_clock>(
                now.time_since_epoch());
            report.incarnation = 1;
            report.running = running[id];
            report.ended = ended[id];
            for (auto& run : report.running)
            {
                run.percent = percent_of(run);
            }
            leader->on_report(id, report, now - milliseconds(1), now);
        }
    }

    int percent_of(const running_task& run) const
    {
        if (submitted.at(run.task.job).steps.front().is_long_running)
        {
            return 100;
        }
        constexpr duration time_per_percent = milliseconds(500);
        const auto age = now - started_at.at({run.task, run.run});
        return static_cast<int>(age / time_per_percent);
    }

    void respond(const order& o)
    {
        if (const auto* const start = std::get_if<start_order>(&o))
        {
            if (!is_responsive(start->worker))
            {
                leader->on_start_answer(start->worker, start->task, start->run,
                                        start_answer::unknown, now);
                return;
            }
            ++starts[start->task.job];
            if (auto& left = unconfirmed_crashes[start->task.job]; left > 0)
            {
                --left;
                crash(start->worker);
                leader->on_start_answer(start->worker, start->task, start->run,
                                        start_answer::unknown, now);
                return;
            }
            running[start->worker].push_back(
                {start->task, start->run, "", 50, -1});
            started_at[{start->task, start->run}] = now;
            leader->on_start_answer(start->worker, start->task, start->run,
                                    start_answer::accepted, now);
        }
        if (const auto* const stop = std::get_if<stop_order>(&o))
        {
            std::erase_if(running[stop->worker], [&](const running_task& run) {
                return run.task == stop->task;
            });
        }
        if (const auto* const poll = std::get_if<poll_order>(&o))
        {
            if (!is_responsive(poll->worker))
            {
                leader->on_poll_failed(poll->worker, now);
                return;
            }
            polls_in_progress[poll->worker] = now + poll->wait;
        }
    }

    bool is_responsive(const worker_id& id) const
    {
        return !crashed.contains(id) && !silent.contains(id);
    }

    std::optional<job_state> state_of(const std::string& name) const
    {
        const auto& over = leader->registry().over();
        const auto found = over.find(job_id(name));
        return found == over.end() ? std::nullopt
                                   : std::optional(found->second);
    }

    // Crashes that count against the task; empty if its job is over.
    std::optional<std::size_t> crashes_of(const task_key& task) const
    {
        const auto& live = leader->registry().live();
        const auto owner = live.find(task.job);
        return owner == live.end()
                   ? std::nullopt
                   : std::optional(
                         owner->second->peek(task).crashes.workers.size());
    }

    worker_id worker_of(const std::string& job) const
    {
        for (const auto& [id, tasks] : running)
        {
            if (std::ranges::any_of(tasks, [&](const running_task& task) {
                    return task.task.job == job_id(job);
                }))
            {
                return id;
            }
        }
        return {};
    }

    time_point now{seconds(1000)};
    std::unique_ptr<scheduler> leader;
    std::map<job_id, job> submitted;
    std::map<worker_id, worker_entry> listed;
    std::map<worker_id, std::vector<running_task>> running;
    std::map<std::pair<task_key, std::uint32_t>, time_point> started_at;
    std::map<worker_id, time_point> polls_in_progress;
    std::vector<std::pair<time_point, worker_id>> restarts;
    std::set<worker_id> crashed;
    std::set<worker_id> silent;
    std::map<worker_id, std::vector<ended_run>> ended;
    std::uint64_t end_number = 0;
    // The VMs of crashed workers run new ones.
    bool returns = true;
    std::map<job_id, int> starts;
    // Jobs whose tasks crash their worker, and how long after the start.
    std::map<job_id, duration> crashing;
    // Jobs whose next starts crash their workers before they are confirmed.
    std::map<job_id, int> unconfirmed_crashes;
    std::map<job_id, std::string> progress_rows;
    std::map<std::uint32_t, std::vector<fleet_record>> fleet_rows;
};

} // namespace hemlockdeal::jobs::test
