// A scheduler whose workers respond to each order at once, or not at all.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "jobs/jobs.hpp"

namespace hemlockdeal::jobs::test
{

inline step short_step(std::uint32_t count)
{
    step s;
    s.task_count = count;
    s.size = {1000, 1000, 0};
    s.estimate = std::chrono::milliseconds(1000);
    return s;
}

class scheduler_test : public testing::Test
{
protected:
    explicit scheduler_test(const scheduler_options& options = {})
        : leader(options, 1)
    {
        leader.set_services({{service_id("s"), {}}});
    }

    worker_entry entry(const std::string& name)
    {
        worker_entry e;
        e.id = worker_id(name);
        e.service = service_id("s");
        e.zone = availability_zone_id("zone-" + name);
        e.capacity = {16000, 64000, 0};
        e.incarnation = 1;
        return e;
    }

    void add_worker(const std::string& name)
    {
        leader.set_worker(entry(name), now);
    }

    job make_job(const std::string& name, const step& s)
    {
        job j;
        j.id = job_id(name);
        j.policy.service = service_id("s");
        j.policy.max_attempts = 2;
        j.policy.queue = "q";
        j.steps = {s};
        return j;
    }

    // Workers respond to all polls with their active runs; changes are stored.
    std::vector<order> simulate(duration time = std::chrono::milliseconds(300))
    {
        std::vector<order> all_orders;
        const auto end = now + time;
        while (now < end)
        {
            now += std::chrono::milliseconds(20);
            for (const auto& o :
                 leader.decide(now, std::chrono::milliseconds(0), {}))
            {
                all_orders.push_back(o);
                respond(o);
            }
            if (leader.has_changes())
            {
                leader.take_changes();
                leader.on_changes_stored(now);
            }
        }
        return all_orders;
    }

    void respond(const order& o)
    {
        if (const auto* const start = std::get_if<start_order>(&o))
        {
            if (unresponsive.contains(start->worker))
            {
                return;
            }
            running[start->worker].push_back(
                {start->task, start->run, "", 50, -1});
            leader.on_start_answer(start->worker, start->task, start->run,
                                   start_answer::accepted, now);
        }
        if (const auto* const poll = std::get_if<poll_order>(&o))
        {
            acknowledged.push_back(poll->acknowledged);
            if (unresponsive.contains(poll->worker))
            {
                leader.on_poll_failed(poll->worker, now);
                return;
            }
            leader.on_report(poll->worker, report_of(poll->worker), now, now);
        }
    }

    worker_report report_of(const worker_id& id)
    {
        worker_report r;
        r.clock =
            std::chrono::duration_cast<worker_clock>(now.time_since_epoch());
        r.incarnation = report_incarnation;
        r.running = running[id];
        r.ended = ended[id];
        r.unreadable_running = unreadable_running[id];
        r.unreadable_ended = unreadable_ended[id];
        return r;
    }

    // Orders a task to worker "a", which has stopped responding.
    start_order order_to_unresponsive_worker()
    {
        add_worker("a");
        leader.begin(now);
        simulate();
        unresponsive.insert(worker_id("a"));
        leader.add_job(make_job("j", short_step(1)));
        const auto starts =
            orders_of<start_order>(simulate(std::chrono::milliseconds(100)));
        EXPECT_EQ(starts.size(), 1U);
        return starts.at(0);
    }

    // Starts tasks of two jobs and lets their workers report that they failed.
    void fail_tasks_of_two_jobs()
    {
        leader.add_job(make_job("j", short_step(1)));
        leader.add_job(make_job("k", short_step(1)));
        const auto starts =
            orders_of<start_order>(simulate(std::chrono::milliseconds(100)));
        ASSERT_EQ(starts.size(), 2U);
        running.clear();
        std::uint64_t number = 0;
        for (const auto& start : starts)
        {
            ended[start.worker].push_back(
                {++number, start.task, start.run, run_end::failed, ""});
        }
    }

    template <typename Order>
    static std::vector<Order> orders_of(const std::vector<order>& orders)
    {
        std::vector<Order> out;
        for (const auto& o : orders)
        {
            if (const auto* const found = std::get_if<Order>(&o))
            {
                out.push_back(*found);
            }
        }
        return out;
    }

    scheduler leader;
    time_point now{std::chrono::seconds(1000)};
    std::set<worker_id> unresponsive;
    std::map<worker_id, std::vector<running_task>> running;
    std::map<worker_id, std::vector<ended_run>> ended;
    std::vector<std::uint64_t> acknowledged;
    std::map<worker_id, std::size_t> unreadable_running;
    std::map<worker_id, std::size_t> unreadable_ended;
    worker_incarnation report_incarnation = 1;
};

} // namespace hemlockdeal::jobs::test
