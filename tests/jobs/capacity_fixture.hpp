// A scheduler whose workers change their capacity.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "jobs/jobs.hpp"

namespace hemlockdeal::jobs::test
{

inline constexpr duration step_time = std::chrono::milliseconds(20);
inline constexpr duration short_time = std::chrono::milliseconds(300);
inline constexpr task_size full_room{16000, 64000, 4};

inline step step_of(std::uint32_t count, std::int64_t processor_millis)
{
    step s;
    s.task_count = count;
    s.size = {processor_millis, 1000, 0};
    s.estimate = std::chrono::seconds(10);
    return s;
}

inline step serving_step(std::uint32_t count, std::int64_t processor_millis)
{
    auto s = step_of(count, processor_millis);
    s.is_long_running = true;
    s.tail_target = std::chrono::milliseconds(18);
    return s;
}

inline step fill_step(std::uint32_t count, std::int64_t processor_millis)
{
    auto s = step_of(count, processor_millis);
    s.fills = true;
    s.image = "fill";
    return s;
}

class capacity_test : public testing::Test
{
protected:
    capacity_test()
        : leader(std::make_unique<scheduler>(scheduler_options{}, 1))
    {
        leader->set_services({{service_id("s"), {}}});
    }

    worker_entry& entry(const std::string& name)
    {
        const auto [found, is_new] = entries.try_emplace(worker_id(name));
        auto& e = found->second;
        if (is_new)
        {
            e.id = found->first;
            e.service = service_id("s");
            e.zone = availability_zone_id("z");
            e.capacity = full_room;
            e.incarnation = 1;
        }
        return e;
    }

    void publish(const std::string& name, const task_size& capacity)
    {
        entry(name).capacity = capacity;
        leader->set_worker(entry(name), now);
    }

    void begin(const std::vector<std::string>& names)
    {
        for (const auto& name : names)
        {
            publish(name, full_room);
        }
        leader->begin(now);
        simulate();
    }

    static job make_job(const std::string& name, const step& s)
    {
        job j;
        j.id = job_id(name);
        j.policy.service = service_id("s");
        j.policy.max_attempts = 2;
        j.steps = {s};
        return j;
    }

    void add_job(const std::string& name, const step& s)
    {
        leader->add_job(make_job(name, s));
    }

    // Starts the tasks of a new job and fails the test if one finds no room.
    void run_job(const std::string& name, const step& s)
    {
        add_job(name, s);
        ASSERT_EQ(simulate().size(), s.task_count) << name;
    }

    // Returns the starts; stops are counted.
    std::vector<start_order> simulate(duration time = short_time)
    {
        std::vector<start_order> starts;
        for (const auto end = now + time; now < end;)
        {
            now += step_time;
            for (const auto& o :
                 leader->decide(now, std::chrono::milliseconds(0), {}))
            {
                respond(o, starts);
            }
            if (store_responds && leader->has_changes())
            {
                leader->take_changes();
                leader->on_changes_stored(now);
            }
        }
        return starts;
    }

    void respond(const order& o, std::vector<start_order>& starts)
    {
        if (const auto* const start = std::get_if<start_order>(&o))
        {
            starts.push_back(*start);
            if (workers_answer_starts)
            {
                accept(*start);
            }
        }
        if (std::holds_alternative<stop_order>(o))
        {
            stops.push_back(std::get<stop_order>(o));
        }
        if (const auto* const poll = std::get_if<poll_order>(&o))
        {
            leases_extended += poll->deadline ? 1 : 0;
            leader->on_report(poll->worker, report_of(poll->worker), now, now);
        }
    }

    void accept(const start_order& start)
    {
        running[start.worker].push_back({start.task, start.run, "", 0, -1});
        leader->on_start_answer(start.worker, start.task, start.run,
                                start_answer::accepted, now);
    }

    worker_report report_of(const worker_id& id)
    {
        worker_report r;
        r.clock =
            std::chrono::duration_cast<worker_clock>(now.time_since_epoch());
        r.incarnation = 1;
        r.running = running[id];
        for (auto& run : r.running)
        {
            run.percent = percent();
        }
        r.ended = ended[id];
        return r;
    }

    int percent() const
    {
        constexpr int cycle = 90;
        return runs_progress ? static_cast<int>(now.time_since_epoch() /
                                                step_time % cycle)
                             : 0;
    }

    void end_first_run(const std::string& name, run_end how = run_end::done)
    {
        auto& runs = running[worker_id(name)];
        auto& ends = ended[worker_id(name)];
        ends.push_back(
            {ends.size() + 1, runs.front().task, runs.front().run, how, ""});
        runs.erase(runs.begin());
    }

    std::unique_ptr<scheduler> leader;
    std::map<worker_id, worker_entry> entries;
    std::map<worker_id, std::vector<running_task>> running;
    std::map<worker_id, std::vector<ended_run>> ended;
    std::vector<stop_order> stops;
    std::size_t leases_extended = 0;
    bool store_responds = true;
    bool workers_answer_starts = true;
    bool runs_progress = true;
    time_point now{std::chrono::seconds(1000)};
};

} // namespace hemlockdeal::jobs::test
