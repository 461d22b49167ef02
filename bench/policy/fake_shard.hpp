// A small fake of the workers of one shard that steps time. It has what a
// placement policy can notice: lagging reports, wrong declared values,
// pairwise slowdowns, overload, checkpoints and bad workers.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "batch/placement_policy.hpp"

namespace fake
{

using namespace hemlockdeal;

// What a class really does to others: slowdown of a victim class is
// exp(sum over neighbours of table[victim][neighbour] x share of processors).
constexpr std::size_t kinds_at_most = 8;
using slowdown_table =
    std::array<std::array<double, kinds_at_most>, kinds_at_most>;

struct job
{
    job_submission declared;
    const work_class* kind = nullptr;
    std::size_t number_of_kind = 0;
    double run_time_s = 60.0;
    resources used;
    bool bad = false; // fails wherever it runs
    std::uint32_t finished = 0;
};

struct waiting
{
    job* of = nullptr;
    std::uint32_t index = 0;
    time_point submitted_at;
    double progress = 0.0;
    std::uint32_t evictions = 0;
    std::vector<worker_id> failed_on;
};

struct running
{
    waiting origin;
    time_point started_at;
    time_point checkpointed_at;
    double progress = 0.0;
    double checkpoint = 0.0;
    double share = 1.0;
    bool stopping = false;
    time_point stopped_at;
    // As in the last report.
    double reported_progress = 0.0;
    resources reported_use;
};

struct worker
{
    worker_id id;
    rack_id rack;
    resources size;
    bool accepts_starts = true;
    bool fails_everything = false;
    duration report_offset{};
    std::vector<running> tasks;
};

struct counters
{
    std::uint64_t starts = 0;
    std::uint64_t finished = 0;
    std::uint64_t evictions = 0;
    std::uint64_t failures = 0;
    std::uint64_t missed_targets = 0;
    std::uint64_t beyond_free = 0;
    double work_s = 0.0; // of finished tasks, in processor seconds
    double lost_s = 0.0; // processor seconds that were run again
    duration longest_urgent_wait{};
};

// Carries out the decisions of one policy object.
template <placement_policy Policy>
class shard
{
public:
    static constexpr duration step_length = std::chrono::milliseconds(250);
    static constexpr duration report_interval = std::chrono::seconds(5);
    static constexpr duration stop_time = std::chrono::milliseconds(300);
    static constexpr duration checkpoint_interval = std::chrono::seconds(60);

    shard(Policy policy, std::vector<worker> workers, slowdown_table table)
        : policy_(std::move(policy)), workers_(std::move(workers)),
          table_(table)
    {
        for (std::size_t i = 0; i < workers_.size(); ++i)
        {
            workers_[i].report_offset = step_length * static_cast<int>(i % 20);
        }
    }

    void submit(job& j, time_point now)
    {
        for (std::uint32_t i = 0; i < j.declared.tasks; ++i)
        {
            waiting_.push_back({&j, i, now, 0.0, 0, {}});
        }
    }

    // Places a task without asking the policy.
    void run_on(job& j, std::size_t worker_index, time_point now)
    {
        start(waiting{&j, next_pinned_++, now, 0.0, 0, {}},
              workers_[worker_index], now);
    }

    placement_output step(time_point now,
                          const std::vector<service_tail>& tails)
    {
        for (worker& w : workers_)
        {
            run_tasks(w, now);
            if ((now.time_since_epoch() - w.report_offset) % report_interval ==
                duration(0))
            {
                report(w, now);
            }
        }
        return place(now, tails);
    }

    // Slowdown of each instance of the class.
    std::vector<double> slowdowns_of(std::size_t kind) const
    {
        std::vector<double> result;
        for (const worker& w : workers_)
        {
            const loads all = loads_of(w);
            for (const running& r : w.tasks)
            {
                if (r.origin.of->number_of_kind == kind)
                {
                    result.push_back(slowdown(r, w, all));
                }
            }
        }
        return result;
    }

    Policy& policy() { return policy_; }
    std::vector<worker>& workers() { return workers_; }
    const std::deque<waiting>& waiting_tasks() const { return waiting_; }
    const counters& count() const { return count_; }
    std::vector<team_quota>& quotas() { return quotas_; }

    // The input of the next call, valid until the next change.
    placement_input make_input(time_point now,
                               const std::vector<service_tail>& tails)
    {
        placement_input input;
        views_.clear();
        waiting_views_.clear();
        for (team_quota& q : quotas_)
        {
            q.used = resources();
        }
        for (const worker& w : workers_)
        {
            views_.push_back(view_of(w));
            input.capacity += w.size;
        }
        for (const waiting& w : waiting_)
        {
            waiting_task task;
            task.job = &w.of->declared;
            task.kind = w.of->kind;
            task.index = w.index;
            task.submitted_at = w.submitted_at;
            task.progress = w.progress;
            task.evictions = w.evictions;
            task.failed_on = w.failed_on;
            waiting_views_.push_back(task);
        }
        input.now = now;
        input.waiting = waiting_views_;
        input.workers = views_;
        input.quotas = quotas_;
        input.tails = tails;
        input.starts_at_most = 64;
        return input;
    }

private:
    struct loads
    {
        std::array<double, kinds_at_most> of{};
        double sum = 0.0;
    };

    static double load_of(const running& r, const worker& w)
    {
        return r.share *
               static_cast<double>(r.origin.of->used.processors.value) /
               static_cast<double>(w.size.processors.value);
    }

    static loads loads_of(const worker& w)
    {
        loads all;
        for (const running& r : w.tasks)
        {
            all.of[r.origin.of->number_of_kind] += load_of(r, w);
            all.sum += load_of(r, w);
        }
        return all;
    }

    double slowdown(const running& r, const worker& w, const loads& all) const
    {
        const std::size_t victim = r.origin.of->number_of_kind;
        double sum = -table_[victim][victim] * load_of(r, w);
        for (std::size_t kind = 0; kind < kinds_at_most; ++kind)
        {
            sum += table_[victim][kind] * all.of[kind];
        }
        return std::exp(sum) * std::max(1.0, all.sum);
    }

    void start(waiting task, worker& w, time_point now)
    {
        running r;
        r.progress = task.progress;
        r.checkpoint = task.progress;
        r.reported_progress = task.progress;
        r.started_at = now;
        r.checkpointed_at = now;
        if (task.of->kind != nullptr && task.of->kind->urgent)
        {
            count_.longest_urgent_wait =
                std::max(count_.longest_urgent_wait, now - task.submitted_at);
        }
        r.origin = std::move(task);
        w.tasks.push_back(std::move(r));
        ++count_.starts;
    }

    void run_tasks(worker& w, time_point now)
    {
        const loads all = loads_of(w);
        for (std::size_t i = 0; i < w.tasks.size();)
        {
            running& r = w.tasks[i];
            const job& j = *r.origin.of;
            const bool fails = (w.fails_everything || j.bad) &&
                               now - r.started_at >= std::chrono::seconds(1);
            if (r.stopping && r.stopped_at <= now)
            {
                stop(r, w);
            }
            else if (fails)
            {
                fail(r, w, now);
            }
            else if (!advance(r, w, all, now))
            {
                ++i;
                continue;
            }
            w.tasks.erase(w.tasks.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }

    // Returns true when the task has finished.
    bool advance(running& r, const worker& w, const loads& all, time_point now)
    {
        job& j = *r.origin.of;
        if (j.kind != nullptr && j.kind->kind == class_kind::latency_critical)
        {
            return false;
        }
        const double seconds =
            std::chrono::duration<double>(step_length).count();
        r.progress += r.share * seconds / (j.run_time_s * slowdown(r, w, all));
        if (now - r.checkpointed_at >= checkpoint_interval)
        {
            r.checkpointed_at = now;
            r.checkpoint = r.progress;
        }
        if (r.progress < 1.0)
        {
            return false;
        }
        ++count_.finished;
        ++j.finished;
        count_.work_s += j.run_time_s *
                         static_cast<double>(j.used.processors.value) / 1000.0;
        if (j.kind != nullptr && now - r.origin.submitted_at > j.kind->target)
        {
            ++count_.missed_targets;
        }
        policy_.observe(
            task_finished{j.declared, r.origin.index, w.id, now - r.started_at},
            now);
        return true;
    }

    void stop(running& r, const worker&)
    {
        waiting again = r.origin;
        count_.lost_s += (r.progress - r.checkpoint) * again.of->run_time_s *
                         static_cast<double>(again.of->used.processors.value) /
                         1000.0;
        again.progress = r.checkpoint;
        ++again.evictions;
        waiting_.push_front(std::move(again));
    }

    void fail(running& r, const worker& w, time_point now)
    {
        ++count_.failures;
        static const std::string error = "exit 1";
        policy_.observe(
            task_failed{r.origin.of->declared, r.origin.index, w.id, error},
            now);
        waiting again = r.origin;
        if (std::ranges::find(again.failed_on, w.id) == again.failed_on.end())
        {
            again.failed_on.push_back(w.id);
        }
        if (again.failed_on.size() < 3)
        {
            waiting_.push_back(std::move(again));
        }
    }

    void report(worker& w, time_point now)
    {
        for (running& r : w.tasks)
        {
            r.reported_progress = r.progress;
            r.reported_use = r.origin.of->used;
            r.reported_use.processors.value = static_cast<std::int64_t>(
                r.share * static_cast<double>(r.reported_use.processors.value));
        }
        const worker_view view = view_of(w);
        policy_.observe(worker_observed{view}, now);
    }

    worker_view view_of(const worker& w)
    {
        worker_view view;
        view.id = w.id;
        view.rack = w.rack;
        view.size = w.size;
        view.free = w.size;
        view.accepts_starts = w.accepts_starts;
        for (const running& r : w.tasks)
        {
            const job& j = *r.origin.of;
            running_task task;
            task.job = &j.declared;
            task.kind = j.kind;
            task.index = r.origin.index;
            task.submitted_at = r.origin.submitted_at;
            task.started_at = r.started_at;
            task.checkpointed_at = r.checkpointed_at;
            task.progress = r.reported_progress;
            task.used = r.reported_use;
            task.share = r.share;
            task.evictions = r.origin.evictions;
            task.stopping = r.stopping;
            view.free -= j.declared.task_size;
            view.running.push_back(task);
            const auto quota =
                std::ranges::find(quotas_, j.declared.team, &team_quota::team);
            if (quota != quotas_.end())
            {
                quota->used += j.declared.task_size;
            }
        }
        if (!w.accepts_starts)
        {
            view.free = resources();
        }
        return view;
    }

    placement_output place(time_point now,
                           const std::vector<service_tail>& tails)
    {
        const placement_input input = make_input(now, tails);
        placement_output output = policy_.place(input);
        apply(output, now);
        return output;
    }

    void apply(const placement_output& output, time_point now)
    {
        for (const task_throttle& t : output.throttles)
        {
            workers_[t.worker].tasks[t.running].share = t.share;
        }
        for (const task_eviction& e : output.evictions)
        {
            running& r = workers_[e.worker].tasks[e.running];
            count_.evictions += r.stopping ? 0 : 1;
            r.stopping = true;
            r.stopped_at = now + stop_time;
        }
        std::vector<std::uint32_t> started;
        for (const task_placement& p : output.placements)
        {
            resources& free = views_[p.worker].free;
            const resources& size = waiting_[p.waiting].of->declared.task_size;
            if (!views_[p.worker].accepts_starts || !size.fits_in(free))
            {
                ++count_.beyond_free;
                continue;
            }
            free -= size;
            start(waiting_[p.waiting], workers_[p.worker], now);
            started.push_back(p.waiting);
        }
        std::ranges::sort(started, std::ranges::greater());
        for (const std::uint32_t index : started)
        {
            waiting_.erase(waiting_.begin() +
                           static_cast<std::ptrdiff_t>(index));
        }
    }

    Policy policy_;
    std::vector<worker> workers_;
    slowdown_table table_;
    std::deque<waiting> waiting_;
    std::vector<team_quota> quotas_;
    std::vector<worker_view> views_;
    std::vector<waiting_task> waiting_views_;
    counters count_;
    std::uint32_t next_pinned_ = 0;
};

inline resources cores_and_mb(double cores, std::int64_t mb)
{
    return {{static_cast<std::int64_t>(cores * 1000.0)}, {mb}, {}};
}

// 99th percentile of response times that are exponential at each instance
// with the slowdown as mean, as a multiple of that without slowdown.
inline double tail_of(const std::vector<double>& slowdowns)
{
    double low = 0.0;
    double high = 1e4;
    const auto later = [&](double t) {
        double sum = 0.0;
        for (const double s : slowdowns)
        {
            sum += std::exp(-t / s);
        }
        return sum / static_cast<double>(slowdowns.size());
    };
    for (int i = 0; i < 40 && !slowdowns.empty(); ++i)
    {
        const double middle = (low + high) / 2.0;
        (later(middle) > 0.01 ? low : high) = middle;
    }
    return low / std::log(100.0);
}

// Workers in racks of eight, as in both deployments.
inline std::vector<worker> make_workers(std::size_t count, double cores,
                                        std::int64_t mb)
{
    std::vector<worker> result(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        result[i].id = worker_id("worker-" + std::to_string(1000 + i));
        result[i].rack = rack_id("rack-" + std::to_string(i / 8));
        result[i].size = cores_and_mb(cores, mb);
    }
    return result;
}

} // namespace fake
