// Emulated worker with leases and the highest epoch it has seen, which may
// crash. All tasks run at full speed; gangs are formed by the simulation.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jobs/jobs.hpp"

namespace hemlockdeal::emulation
{

class leased_worker
{
public:
    struct active_run
    {
        std::uint32_t run = 0;
        const jobs::step* task_step = nullptr;
        time_point began_at{};
        duration work{};
        // Work done by earlier runs, restored from the checkpoint.
        duration restored{};
        // Time at which the work begins; unset while a gang is incomplete.
        std::optional<time_point> works_since;
    };

    struct start_result
    {
        jobs::start_answer response = jobs::start_answer::accepted;
        bool has_begun = false;
    };

    struct lost_run
    {
        jobs::task_key task;
        jobs::run_end how = jobs::run_end::done;
    };

    jobs::worker_entry entry;
    time_point started_at{};
    bool is_up = true;
    time_point crashed_at{};
    // After a crash: polls get no answer instead of a connection reset.
    bool is_silent = false;

    const std::map<jobs::task_key, active_run>& running() const
    {
        return running_;
    }
    bool has_ended() const { return !ended_.empty(); }
    bool follows_later_than(std::uint64_t epoch) const
    {
        return epoch < epoch_;
    }

    jobs::worker_clock clock(time_point now) const
    {
        return std::chrono::duration_cast<jobs::worker_clock>(now - started_at);
    }

    start_result start(const jobs::start_order& order, std::uint64_t epoch,
                       const jobs::step& task_step, duration work,
                       time_point now);
    // False if the worker follows a later leader.
    bool stop(const jobs::stop_order& order, std::uint64_t epoch,
              time_point now);
    // Takes the deadline and the acknowledgement of a poll; false if the
    // worker follows a later leader.
    bool receive(const jobs::poll_order& order, std::uint64_t epoch,
                 time_point now);
    jobs::worker_report report(time_point now) const;

    // Ends runs whose work is done or whose lease has expired.
    void advance(time_point now);
    void end(const jobs::task_key& key, jobs::run_end how, time_point now);
    void begin_work(const jobs::task_key& key, time_point now)
    {
        running_.at(key).works_since = now;
    }
    void crash(time_point now)
    {
        is_up = false;
        crashed_at = now;
        running_.clear();
    }
    // Runs that have ended since the last call.
    std::vector<lost_run> take_new_ends() { return std::move(new_ends_); }

private:
    static constexpr jobs::worker_clock max_lease{6000};
    static constexpr std::size_t max_listed_ends = 500;

    bool has_room(const jobs::step& task_step) const;
    void extend_lease(jobs::worker_clock deadline, time_point now);
    static duration done_work(const active_run& run, time_point now);
    static int percent_of(const active_run& run, time_point now);
    static std::string checkpoint_at(const active_run& run, duration done);

    std::map<jobs::task_key, active_run> running_;
    std::deque<jobs::ended_run> ended_;
    std::vector<lost_run> new_ends_;
    std::map<jobs::task_key, std::uint32_t> highest_ended_run_;
    std::uint64_t epoch_ = 0;
    std::uint64_t number_ = 0;
    std::optional<jobs::worker_clock> lease_;
};

// Free processors and memory on the worker.
jobs::task_size unused_on(const leased_worker& worker);

} // namespace hemlockdeal::emulation
