// All shards of a deployment with services and a batch workload: pairwise
// slowdowns, wrong declared values and waves of noisy work.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fake_shard.hpp"

namespace fake
{

struct deployment
{
    std::string name;
    std::size_t workers = 0;
    double cores = 0.0;
    std::int64_t memory_mb = 0;
    std::size_t shards = 12; // 3 zones of 4
};

struct workload
{
    std::string name;
    double interference = 1.0; // factor of the slowdown table
    double declared_error = 1.0;
    bool waves = false;
};

struct figures
{
    double tail = 0.0;       // p99 as a share of the target
    double time_above = 0.0; // share of seconds with the tail above target
    double work = 0.0;       // processor hours finished per hour
    double evictions = 0.0;
    double missed = 0.0; // share of the batch tasks
    double urgent_wait_s = 0.0;
};

// Counts slowdowns in logarithmic buckets.
class slowdown_histogram
{
public:
    void add(double slowdown)
    {
        const double bucket = std::clamp(std::log(slowdown) * 50.0, 0.0, 399.0);
        counts_[static_cast<std::size_t>(bucket)] += 1.0;
    }

    double tail() const
    {
        double low = 0.0;
        double high = 1e5;
        double all = 0.0;
        for (const double c : counts_)
        {
            all += c;
        }
        for (int i = 0; i < 60; ++i)
        {
            const double t = (low + high) / 2.0;
            double later = 0.0;
            for (std::size_t b = 0; b < counts_.size(); ++b)
            {
                const double slowdown =
                    std::exp((static_cast<double>(b) + 0.5) / 50.0);
                later += counts_[b] * std::exp(-t / slowdown);
            }
            (later > 0.01 * all ? low : high) = t;
        }
        return low / std::log(100.0);
    }

private:
    std::array<double, 400> counts_{};
};

template <placement_policy Policy>
class fleet
{
public:
    fleet(const deployment& d, const workload& load, std::uint32_t seed)
        : deployment_(d), workload_(load), random_(seed)
    {
        make_classes();
        std::vector<std::vector<worker>> workers(d.shards);
        const auto all = make_workers(d.workers, d.cores, d.memory_mb);
        for (std::size_t i = 0; i < all.size(); ++i)
        {
            workers[i % d.shards].push_back(all[i]);
        }
        slowdown_table table = slowdowns();
        for (auto& of_shard : workers)
        {
            shards_.emplace_back(Policy(), of_shard, table);
            for (std::size_t t = 0; t < teams; ++t)
            {
                shards_.back().quotas().push_back(
                    {team_id("team-" + std::to_string(10 + t)),
                     100.0 / teams,
                     {}});
            }
        }
        for (std::size_t t = 0; t < teams; ++t)
        {
            team_error_.push_back(error(load.declared_error));
        }
        job& service_job = add_job(service, 2.0, 1e9, 0);
        service_job.declared.task_size = cores_and_mb(2.0, 4096);
        for (auto& s : shards_)
        {
            for (std::size_t w = 0; w < s.workers().size(); ++w)
            {
                s.run_on(service_job, w, now_);
            }
        }
    }

    figures run(duration length)
    {
        const time_point end = now_ + length;
        std::vector<service_tail> tails;
        std::uint64_t seconds = 0;
        std::uint64_t above = 0;
        for (std::uint64_t step = 0; now_ < end; ++step, now_ += step_length)
        {
            submit_jobs();
            if (step % 4 == 0)
            {
                const double tail = measure_tail();
                ++seconds;
                above += tail > 1.0 ? 1U : 0U;
                // The proxies report the tail with some delay.
                recent_.push_back(tail);
                tails = {
                    {classes_[service].id,
                     recent_[recent_.size() > 3 ? recent_.size() - 3 : 0]}};
            }
            for (auto& s : shards_)
            {
                s.step(now_, tails);
            }
        }
        figures f = totals(length);
        f.time_above =
            static_cast<double>(above) / static_cast<double>(seconds);
        return f;
    }

private:
    static constexpr duration step_length = shard<Policy>::step_length;
    static constexpr std::size_t teams = 12;
    // 99th percentile without neighbours, as a share of the target.
    static constexpr double undisturbed_tail = 0.5;
    enum kind
    {
        service,
        noisy,
        steady,
        quiet,
        urgent,
        kinds
    };

    void make_classes()
    {
        using namespace std::chrono_literals;
        classes_[service] = {class_id("service"), class_kind::latency_critical,
                             800ms};
        classes_[noisy] = {class_id("noisy"), class_kind::batch, 30min};
        classes_[steady] = {class_id("steady"), class_kind::batch, 20min};
        classes_[quiet] = {class_id("quiet"), class_kind::batch, 60min};
        classes_[urgent] = {class_id("urgent"), class_kind::batch, 5min};
        classes_[urgent].urgent = true;
    }

    slowdown_table slowdowns() const
    {
        slowdown_table t{};
        t[service] = {0.0, 2.0, 0.5, 0.2, 0.2};
        t[noisy] = {0.2, 1.2, 0.5, 0.3, 0.1};
        t[steady] = {0.2, 1.0, 0.3, 0.1, 0.1};
        t[quiet] = {0.1, 0.5, 0.1, 0.05, 0.05};
        t[urgent] = {0.1, 0.5, 0.1, 0.05, 0.05};
        for (auto& row : t)
        {
            for (double& value : row)
            {
                value *= workload_.interference;
            }
        }
        return t;
    }

    double error(double factor)
    {
        const double l = std::log(factor);
        return std::exp(std::uniform_real_distribution<double>(-l, l)(random_));
    }

    double real(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(random_);
    }

    // A team is wrong in a systematic way, and a job of it by up to twice.
    job& add_job(kind k, double cores, double run_time_s, std::size_t team)
    {
        auto j = std::make_unique<job>();
        const double job_error =
            workload_.declared_error > 1.0 && k != service ? error(2.0) : 1.0;
        const double wrong = k == service ? 1.0 : team_error_[team] * job_error;
        j->declared.id = job_id("job-" + std::to_string(jobs_.size()));
        j->declared.team = team_id("team-" + std::to_string(10 + team));
        j->declared.work_class = classes_[k].id;
        j->declared.declared_run_time = std::chrono::milliseconds(
            std::llround(std::min(run_time_s / wrong, 1e6) * 1000.0));
        j->declared.task_size = cores_and_mb(
            std::clamp(cores * wrong, 0.1, deployment_.cores * 0.4), 1500);
        j->used = cores_and_mb(cores, 1500);
        j->run_time_s = run_time_s;
        j->kind = &classes_[k];
        j->number_of_kind = k;
        jobs_.push_back(std::move(j));
        return *jobs_.back();
    }

    void submit(kind k, double cores, double run_time_s)
    {
        job& j = add_job(k, cores, run_time_s, random_() % teams);
        shards_[next_shard_++ % shards_.size()].submit(j, now_);
        submitted_ += k == urgent ? 0 : 1;
    }

    void submit_jobs()
    {
        const double seconds =
            std::chrono::duration<double>(step_length).count();
        const double capacity =
            static_cast<double>(deployment_.workers) * deployment_.cores;
        const double elapsed =
            std::chrono::duration<double>(now_.time_since_epoch()).count();
        // Processors that steady and quiet work needs on average, and noisy
        // work during a wave of 2 of each 8 minutes.
        const bool wave = workload_.waves && std::fmod(elapsed, 480.0) < 120.0;
        const double mean_task = 1.25 * 130.0;
        const double rate = 0.45 * capacity / mean_task * seconds;
        const double noise = (wave ? 0.5 : (workload_.waves ? 0.0 : 0.08)) *
                             capacity / mean_task * seconds;
        for (int n = poisson(rate); n > 0; --n)
        {
            submit(random_() % 2 == 0 ? steady : quiet, real(0.5, 2.0),
                   real(20.0, 240.0));
        }
        for (int n = poisson(noise); n > 0; --n)
        {
            submit(noisy, real(0.5, 2.0), real(20.0, 240.0));
        }
        for (int n = poisson(seconds / 30.0); n > 0; --n)
        {
            submit(urgent, 1.0, 10.0);
        }
    }

    int poisson(double mean)
    {
        return std::poisson_distribution<int>(mean)(random_);
    }

    double measure_tail()
    {
        std::vector<double> all;
        for (const auto& s : shards_)
        {
            const std::vector<double> of_shard = s.slowdowns_of(service);
            all.insert(all.end(), of_shard.begin(), of_shard.end());
        }
        for (const double slowdown : all)
        {
            histogram_.add(slowdown);
        }
        return undisturbed_tail * tail_of(all);
    }

    figures totals(duration length) const
    {
        figures f;
        f.tail = undisturbed_tail * histogram_.tail();
        double missed = 0.0;
        for (const auto& s : shards_)
        {
            const counters& c = s.count();
            f.work += c.work_s / std::chrono::duration<double>(length).count();
            f.evictions += static_cast<double>(c.evictions);
            missed += static_cast<double>(c.missed_targets);
            f.urgent_wait_s = std::max(
                f.urgent_wait_s,
                std::chrono::duration<double>(c.longest_urgent_wait).count());
            for (const waiting& w : s.waiting_tasks())
            {
                missed += now_ - w.submitted_at > w.of->kind->target ? 1 : 0;
                if (w.of->kind->urgent)
                {
                    f.urgent_wait_s = std::max(
                        f.urgent_wait_s,
                        std::chrono::duration<double>(now_ - w.submitted_at)
                            .count());
                }
            }
        }
        f.missed = missed / static_cast<double>(submitted_);
        return f;
    }

    deployment deployment_;
    workload workload_;
    std::mt19937 random_;
    std::array<work_class, kinds> classes_;
    std::vector<double> team_error_;
    std::vector<std::unique_ptr<job>> jobs_;
    std::vector<shard<Policy>> shards_;
    std::vector<double> recent_;
    slowdown_histogram histogram_;
    time_point now_{std::chrono::seconds(1)};
    std::size_t next_shard_ = 0;
    std::uint64_t submitted_ = 0;
};

} // namespace fake
