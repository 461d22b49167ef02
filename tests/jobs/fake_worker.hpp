// Fake worker with the behaviour that the platform specifies: leases by its
// own clock, the highest fencing token it has seen, refusal of runs that were
// stopped before they arrived, and ended runs that it lists until they are
// acknowledged.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jobs/jobs.hpp"

namespace hemlockdeal::jobs::test
{

class fake_worker
{
public:
    struct active_run
    {
        std::uint32_t run = 0;
        time_point began_at{};
        time_point ends_at{};
        bool will_fail = false;
        task_size size;
    };

    worker_entry entry;
    // Speed of the worker's clock relative to true time; it may be slow.
    double clock_rate = 1.0;
    time_point started_at{};
    bool is_up = true;

    worker_clock clock(time_point now) const
    {
        const auto passed = std::chrono::duration<double, std::milli>(
            (now - started_at) * clock_rate);
        return worker_clock(static_cast<std::int64_t>(passed.count()));
    }

    const std::map<task_key, active_run>& running() const { return running_; }

    // Ends expired leases and runs that are due.
    void advance(time_point now)
    {
        if (!is_up)
        {
            return;
        }
        if (lease_ && clock(now) > *lease_)
        {
            while (!running_.empty())
            {
                end(task_key(running_.begin()->first), run_end::lapsed);
            }
            lease_.reset();
            last_end_before_expiry_ = ended_.empty() ? 0 : ended_.back().number;
        }
        std::vector<task_key> due_runs;
        for (const auto& [key, run] : running_)
        {
            if (run.ends_at <= now)
            {
                due_runs.push_back(key);
            }
        }
        for (const auto& key : due_runs)
        {
            end(key,
                running_.at(key).will_fail ? run_end::failed : run_end::done);
        }
    }

    struct start_result
    {
        start_answer response = start_answer::accepted;
        bool has_begun = false;
    };

    start_result start(const start_order& order, std::uint64_t epoch,
                       const task_size& size, duration work, bool will_fail,
                       time_point now)
    {
        if (!take_token(epoch, order.restarts))
        {
            return {start_answer::superseded, false};
        }
        const auto active = running_.find(order.task);
        if (active != running_.end() && active->second.run == order.run)
        {
            return {start_answer::accepted, false};
        }
        if (active != running_.end() ||
            order.run <= highest_ended_run_[order.task])
        {
            return {start_answer::run_too_low, false};
        }
        if (order.deadline <= clock(now))
        {
            return {start_answer::deadline_passed, false};
        }
        extend_lease(order.deadline, now);
        running_[order.task] = {order.run, now, now + work, will_fail, size};
        return {start_answer::accepted, true};
    }

    // False if the worker has seen a higher fencing token.
    bool stop(const stop_order& order, std::uint64_t epoch)
    {
        if (!take_token(epoch, order.restarts))
        {
            return false;
        }
        auto& highest = highest_ended_run_[order.task];
        highest = std::max(highest, order.run);
        const auto active = running_.find(order.task);
        if (active != running_.end() && active->second.run <= order.run)
        {
            end(order.task, run_end::stopped);
        }
        return true;
    }

    // Empty if the worker has seen a higher fencing token.
    std::optional<worker_report> poll(const poll_order& order,
                                      std::uint64_t epoch, time_point now,
                                      std::vector<ended_run>& acknowledged)
    {
        if (!take_token(epoch, order.restarts))
        {
            return std::nullopt;
        }
        if (order.deadline)
        {
            extend_lease(*order.deadline, now);
        }
        while (!ended_.empty() && ended_.front().number <= order.acknowledged)
        {
            // Runs that ended before the lease expired may be acknowledged
            // without being stored.
            if (ended_.front().number > last_end_before_expiry_)
            {
                acknowledged.push_back(ended_.front());
            }
            ended_.pop_front();
        }
        worker_report report;
        report.clock = clock(now);
        report.incarnation = entry.incarnation;
        for (const auto& [key, run] : running_)
        {
            const auto percent =
                100 * (now - run.began_at) / (run.ends_at - run.began_at);
            report.running.push_back(
                {key, run.run, "", static_cast<int>(percent), -1});
        }
        const auto listed = std::min(ended_.size(), max_listed_ends);
        report.ended.assign(ended_.begin(),
                            ended_.begin() +
                                static_cast<std::ptrdiff_t>(listed));
        report.has_more_ends = listed == max_listed_ends;
        return report;
    }

    void crash()
    {
        is_up = false;
        running_.clear();
    }

    // Simulates a crash and a restart under the same id.
    void restart(time_point now)
    {
        running_.clear();
        ended_.clear();
        highest_ended_run_.clear();
        token_ = 0;
        number_ = 0;
        last_end_before_expiry_ = 0;
        lease_.reset();
        started_at = now;
        ++entry.incarnation;
    }

    task_size used() const
    {
        task_size sum;
        for (const auto& [key, run] : running_)
        {
            sum.processor_millis += run.size.processor_millis;
            sum.memory_mb += run.size.memory_mb;
        }
        return sum;
    }

private:
    static constexpr worker_clock max_lease{6000};
    // Low, so that reports often leave out ends.
    static constexpr std::size_t max_listed_ends = 3;

    // False if the worker has seen a higher fencing token.
    bool take_token(std::uint64_t epoch, std::uint32_t restarts)
    {
        const auto token = order_fence(epoch, restarts);
        if (token < token_)
        {
            return false;
        }
        token_ = token;
        return true;
    }

    void extend_lease(worker_clock deadline, time_point now)
    {
        const auto until = std::min(deadline, clock(now) + max_lease);
        lease_ = lease_ ? std::max(*lease_, until) : until;
    }

    void end(const task_key& key, run_end how)
    {
        const auto run = running_.at(key).run;
        running_.erase(key);
        auto& highest = highest_ended_run_[key];
        highest = std::max(highest, run);
        ended_.push_back({++number_, key, run, how, ""});
    }

    std::map<task_key, active_run> running_;
    std::deque<ended_run> ended_;
    std::map<task_key, std::uint32_t> highest_ended_run_;
    std::uint64_t token_ = 0;
    std::uint64_t number_ = 0;
    std::uint64_t last_end_before_expiry_ = 0;
    std::optional<worker_clock> lease_;
};

} // namespace hemlockdeal::jobs::test
