// A new leader, recovered from the store, whose workers respond or not.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "jobs/jobs.hpp"

namespace hemlockdeal::jobs::test
{

class takeover_test : public testing::Test
{
protected:
    takeover_test() : leader({}, 2)
    {
        step s;
        s.task_count = 2;
        s.size = {1000, 100, 0};
        definition.id = job_id("j");
        definition.policy.service = service_id("s");
        definition.steps = {s};
        leader.set_services({{service_id("s"), {}}});
        // Both tasks may have been ordered.
        job_progress progress;
        progress.state = job_state::running;
        progress.ordered = {{0, 0, 0}, {0, 0, 1}};
        leader.recover_job(definition, progress);
    }

    worker_entry entry(const std::string& name) const
    {
        worker_entry e;
        e.id = worker_id(name);
        e.service = service_id("s");
        e.zone = availability_zone_id("z");
        e.capacity = {16000, 64000, 0};
        e.incarnation = 1;
        return e;
    }

    task_key key(std::uint32_t index) const
    {
        return {definition.id, 0, 0, index};
    }

    // Runs the simulation; only one worker responds unless `all_respond` is
    // set. Returns the indices of started tasks.
    std::vector<std::uint32_t> simulate(duration time)
    {
        std::vector<std::uint32_t> started;
        const auto end = now + time;
        while (now < end)
        {
            now += std::chrono::milliseconds(20);
            for (const auto& o :
                 leader.decide(now, std::chrono::milliseconds(0), permission))
            {
                respond(o, started);
            }
            leader.take_changes();
            leader.on_changes_stored(now);
        }
        std::ranges::sort(started);
        return started;
    }

    void respond(const order& o, std::vector<std::uint32_t>& started)
    {
        if (const auto* const start = std::get_if<start_order>(&o))
        {
            started.push_back(start->task.index);
            running.push_back({start->task, start->run, "", 0, -1});
            ran_on[start->task] = start->worker;
            leader.on_start_answer(start->worker, start->task, start->run,
                                   start_answer::accepted, now);
        }
        const auto* const poll = std::get_if<poll_order>(&o);
        if (poll == nullptr)
        {
            return;
        }
        lease_extensions += poll->deadline ? 1 : 0;
        if (poll->worker != reachable_worker && !all_respond)
        {
            leader.on_poll_failed(poll->worker, now);
            return;
        }
        auto report = make_report();
        std::ranges::copy_if(running, std::back_inserter(report.running),
                             [&](const running_task& r) {
                                 return !all_respond ||
                                        ran_on[r.task] == poll->worker;
                             });
        leader.on_report(poll->worker, report, now, now);
    }

    // Recovers "here" with unknown runs, and two workers with a suspect each;
    // "unknown" is not in the membership list.
    void recover_workers_with_suspects()
    {
        leader.recover_fleet({{worker_id("here"), std::nullopt},
                              {worker_id("unknown"),
                               std::vector{key(0)},
                               vm_id("vm-2"),
                               {key(0)}},
                              {worker_id("listed"),
                               std::vector{key(1)},
                               vm_id("vm-3"),
                               {key(1)}}});
        leader.set_worker(entry("here"), now);
        leader.set_worker(entry("listed"), now);
    }

    // Recovers "here" and "malformed" with unknown runs. The entry of
    // "malformed" is malformed.
    void begin_with_malformed_entry()
    {
        leader.recover_fleet({{worker_id("here"), std::nullopt},
                              {worker_id("malformed"), std::nullopt}});
        leader.set_worker(entry("here"), now);
        leader.remove_worker(worker_id("malformed"), now,
                             entry_loss::malformed);
        leader.begin(now);
    }

    std::ptrdiff_t count_suspected_tasks()
    {
        const auto events = leader.take_events();
        return std::ranges::count(events, "task may have crashed its worker",
                                  &decision_event::message);
    }

    // A report of a worker on which nothing runs.
    worker_report make_report() const
    {
        worker_report report;
        report.incarnation = 1;
        report.clock =
            std::chrono::duration_cast<worker_clock>(now.time_since_epoch());
        return report;
    }

    // Starts both tasks on the worker "here" of the VM "vm-1".
    void start_tasks_on_one_vm()
    {
        auto earlier = entry("here");
        earlier.vm = vm_id("vm-1");
        leader.set_worker(earlier, now);
        leader.begin(now);
        ASSERT_THAT(simulate(std::chrono::seconds(1)),
                    testing::ElementsAre(0U, 1U));
    }

    // The worker "later" replaces "here" on its VM and responds; only then the
    // report of "here" arrives.
    void replace_worker_and_deliver(const worker_report& late)
    {
        const auto late_sent_at = now;
        auto later = entry("later");
        later.vm = vm_id("vm-1");
        leader.set_worker(later, now);
        running.clear();
        reachable_worker = worker_id("later");
        const auto first = make_report();
        now += std::chrono::milliseconds(20);
        leader.on_report(worker_id("later"), first, now, now);
        leader.on_report(worker_id("here"), late, late_sent_at, now);
    }

    scheduler leader;
    job definition;
    std::vector<running_task> running;
    // The worker that responds.
    worker_id reachable_worker{"here"};
    // All workers respond.
    bool all_respond = false;
    std::map<task_key, worker_id> ran_on;
    // Number of polls that extended leases.
    std::size_t lease_extensions = 0;
    leader_permission permission;
    time_point now{std::chrono::seconds(100)};
};

} // namespace hemlockdeal::jobs::test
