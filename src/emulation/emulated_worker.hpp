// Emulated worker: ordinary tasks run at full speed, fill tasks share the
// processors that others leave unused, and the tail latency of serving tasks
// rises with their own load and with interference by fill tasks.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <numbers>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "emulation/capacity_wave.hpp"
#include "jobs/jobs.hpp"

namespace hemlockdeal::emulation
{

using jobs::task_key;

// Interference of each fill image with each serving image, derived from a
// seed.
class pressure_table
{
public:
    pressure_table(std::uint64_t seed, double heavy_share, double pressure)
        : seed_(seed), heavy_share_(heavy_share), pressure_(pressure)
    {}

    double between(const std::string& fill, const std::string& serving) const
    {
        const auto hash =
            stable_hash(fill + '/' + serving + std::to_string(seed_));
        const bool is_heavy =
            static_cast<double>(hash % 1000) < heavy_share_ * 1000.0;
        return is_heavy ? pressure_ : pressure_ / 10.0;
    }

private:
    std::uint64_t seed_;
    double heavy_share_;
    double pressure_;
};

// Load of serving tasks over time, the same for all tasks of a job.
struct load_wave
{
    double mean = 0.42;
    double swing = 0.5;
    double period_s = 14.0;

    double at(time_point now, const job_id& job) const
    {
        constexpr std::uint64_t phases = 1000;
        const double phase =
            static_cast<double>(stable_hash(job.value()) % phases) / phases;
        const double seconds =
            std::chrono::duration<double>(now.time_since_epoch()).count();
        return mean * (1.0 + swing * std::sin(2.0 * std::numbers::pi *
                                              (seconds / period_s + phase)));
    }
};

class emulated_worker
{
public:
    struct active_run
    {
        std::uint32_t run = 0;
        const jobs::step* task_step = nullptr;
        double work_s = 0.0;
        double done_s = 0.0;
        double speed = 0.0;
        double tail_ms = 0.0;
        int pace = 100;
    };

    jobs::worker_entry entry;
    // Otherwise the worker starts whatever it is told to start.
    bool enforces_capacity = true;
    jobs::task_size full_capacity;
    // The capacity in the worker's published entry, and since when.
    jobs::task_size published_capacity;
    time_point published_at{};

    const std::map<task_key, active_run>& running() const { return running_; }

    // What the runs reserve; fill tasks reserve no processors.
    jobs::task_size used() const
    {
        jobs::task_size sum;
        for (const auto& [key, run] : running_)
        {
            const auto& size = run.task_step->size;
            sum.processor_millis +=
                run.task_step->fills ? 0 : size.processor_millis;
            sum.memory_mb += size.memory_mb;
            sum.accelerators += size.accelerators;
        }
        return sum;
    }
    bool has_ended() const { return !ended_.empty(); }

    static jobs::worker_clock clock(time_point now)
    {
        return std::chrono::duration_cast<jobs::worker_clock>(
            now.time_since_epoch());
    }

    jobs::start_answer start(const jobs::start_order& order,
                             const jobs::step& task_step, double work_s)
    {
        std::int64_t reserved =
            task_step.fills ? 0 : task_step.size.processor_millis;
        for (const auto& [key, run] : running_)
        {
            reserved +=
                run.task_step->fills ? 0 : run.task_step->size.processor_millis;
        }
        if (enforces_capacity && reserved > entry.capacity.processor_millis)
        {
            return jobs::start_answer::no_room;
        }
        active_run run;
        run.run = order.run;
        run.task_step = &task_step;
        run.work_s = work_s;
        run.done_s =
            order.checkpoint.empty() ? 0.0 : std::stod(order.checkpoint);
        running_[order.task] = run;
        return jobs::start_answer::accepted;
    }

    void stop(const jobs::stop_order& order)
    {
        if (running_.contains(order.task))
        {
            end(order.task, jobs::run_end::stopped);
        }
    }

    void pace(const jobs::pace_order& order)
    {
        if (const auto found = running_.find(order.task);
            found != running_.end())
        {
            found->second.pace = order.percent;
        }
    }

    jobs::worker_report poll(const jobs::poll_order& order, time_point now)
    {
        while (!ended_.empty() && ended_.front().number <= order.acknowledged)
        {
            ended_.pop_front();
        }
        jobs::worker_report report;
        report.clock = clock(now);
        report.incarnation = entry.incarnation;
        for (const auto& [key, run] : running_)
        {
            report.running.push_back(
                {key, run.run, checkpoint_of(run), percent_of(run),
                 run.task_step->tail_target > duration{}
                     ? static_cast<std::int64_t>(run.tail_ms)
                     : static_cast<std::int64_t>(
                           run.speed *
                           static_cast<double>(
                               run.task_step->size.processor_millis))});
        }
        report.ended.assign(ended_.begin(), ended_.end());
        return report;
    }

    void advance(time_point now, duration step, const load_wave& wave,
                 const pressure_table& pressures)
    {
        set_speeds(now, wave);
        set_tails(now, wave, pressures);
        const double seconds = std::chrono::duration<double>(step).count();
        std::vector<task_key> finished;
        for (auto& [key, run] : running_)
        {
            run.done_s += run.speed * seconds;
            if (!run.task_step->is_long_running && run.done_s >= run.work_s)
            {
                finished.push_back(key);
            }
        }
        for (const auto& key : finished)
        {
            end(key, jobs::run_end::done);
        }
    }

    // Tail latency of a serving task with this target at a utilisation.
    static double tail_ms_at(double target_ms, double utilisation)
    {
        constexpr double target_factor = 4.5;
        constexpr double max_utilisation = 0.97;
        return target_ms / target_factor /
               (1.0 - std::min(max_utilisation, utilisation));
    }

private:
    static int percent_of(const active_run& run)
    {
        constexpr double whole = 100.0;
        return run.task_step->is_long_running
                   ? static_cast<int>(whole)
                   : static_cast<int>(whole * run.done_s / run.work_s);
    }

    static std::string checkpoint_of(const active_run& run)
    {
        return run.task_step->saves_progress && run.done_s >= 1.0
                   ? std::to_string(std::floor(run.done_s))
                   : std::string{};
    }

    void set_speeds(time_point now, const load_wave& wave)
    {
        auto unused = static_cast<double>(entry.capacity.processor_millis);
        double wanted = 0.0;
        for (auto& [key, run] : running_)
        {
            const auto size =
                static_cast<double>(run.task_step->size.processor_millis);
            run.speed = 1.0;
            if (run.task_step->fills)
            {
                wanted += size * run.pace / 100.0;
                continue;
            }
            unused -= run.task_step->is_long_running
                          ? size * wave.at(now, key.job)
                          : size;
        }
        const double share =
            wanted <= 0.0 ? 1.0 : std::clamp(unused / wanted, 0.0, 1.0);
        for (auto& [key, run] : running_)
        {
            run.speed = run.task_step->fills ? share * run.pace / 100.0 : 1.0;
        }
    }

    void set_tails(time_point now, const load_wave& wave,
                   const pressure_table& pressures)
    {
        const auto capacity = static_cast<double>(
            std::max<std::int64_t>(1, entry.capacity.processor_millis));
        for (auto& [key, run] : running_)
        {
            if (run.task_step->tail_target <= duration{})
            {
                continue;
            }
            double slowdown = 1.0;
            for (const auto& [other, fill] : running_)
            {
                slowdown +=
                    fill.task_step->fills
                        ? pressures.between(fill.task_step->image,
                                            run.task_step->image) *
                              fill.speed *
                              static_cast<double>(
                                  fill.task_step->size.processor_millis) /
                              capacity
                        : 0.0;
            }
            run.tail_ms = tail_ms_at(std::chrono::duration<double, std::milli>(
                                         run.task_step->tail_target)
                                         .count(),
                                     wave.at(now, key.job) * slowdown);
        }
    }

    void end(const task_key& key, jobs::run_end how)
    {
        const auto& run = running_.at(key);
        ended_.push_back({++number_, key, run.run, how,
                          how == jobs::run_end::stopped ? checkpoint_of(run)
                                                        : std::string{}});
        running_.erase(key);
    }

    std::map<task_key, active_run> running_;
    std::deque<jobs::ended_run> ended_;
    std::uint64_t number_ = 0;
};

} // namespace hemlockdeal::emulation
