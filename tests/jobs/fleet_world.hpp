// A fleet of fake workers under leaders that are killed and replaced, with
// orders that are lost, late or unanswered, and the promises checked from
// what the workers see.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fake_worker.hpp"
#include "jobs/jobs.hpp"

namespace hemlockdeal::jobs::test
{

// Safeguards that a test may remove to see that the checks notice.
enum class removed_safeguard
{
    none,
    // Results are acknowledged although the store has lost them.
    store_before_acknowledge,
    // Rows of jobs do not name the tasks that may have been ordered.
    name_before_order,
    // A new leader does not wait for workers that it has not seen.
    wait_for_unseen_workers,
    // Starts that are carried out late are not refused by their deadline.
    short_start_validity,
    // As above, and a new leader orders with the epoch of the last one.
    short_start_validity_and_higher_epoch
};

class fleet_world
{
public:
    fleet_world(std::uint32_t seed, removed_safeguard removed);

    // Plays the day with faults and then a calm time; true if every job ended.
    bool play();
    const std::vector<std::string>& broken() const { return broken_; }

private:
    struct pending_event
    {
        time_point at{};
        std::uint64_t order = 0;
        std::function<void()> call;

        bool operator<(const pending_event& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void add_job();
    void advance();
    void play_faults();
    void lead();
    void kill_leader();
    void flush();
    void store_progress(const job_id& id, const std::string& text);
    void carry_out(const order& o);
    void carry_out_start(const start_order& o, std::uint64_t epoch);
    void carry_out_stop(const stop_order& o, std::uint64_t epoch);
    void carry_out_poll(const poll_order& o, std::uint64_t epoch);
    void begin_run(fake_worker& w, const start_order& o);
    void check_acknowledged(const ended_run& end);
    void later(duration delay, std::function<void()> call);
    bool happens(double share);
    bool is_cut(const worker_id& id) const;
    job_progress stored_progress(const job_id& id) const;
    const step& step_of(const task_key& key) const;
    void break_rule(const std::string& what) { broken_.push_back(what); }

    std::mt19937 random_;
    removed_safeguard removed_;
    time_point now_{std::chrono::seconds(100)};
    std::uint64_t events_ = 0;
    std::priority_queue<pending_event> due_;
    std::map<worker_id, fake_worker> workers_;
    std::map<worker_id, time_point> cut_until_;
    bool has_faults_ = true;

    std::map<job_id, job> submitted_;
    std::set<job_id> cancelled_;
    std::map<job_id, std::string> progress_rows_;
    std::map<std::uint32_t, std::vector<fleet_record>> fleet_rows_;

    std::uint64_t epoch_ = 0;
    std::shared_ptr<scheduler> leader_;
    time_point next_leader_at_{};
    bool is_flushing_ = false;

    // What the workers saw.
    std::set<task_key> done_and_acknowledged_;
    std::map<task_key, std::set<std::uint32_t>> failures_acknowledged_;
    std::set<task_key> done_at_worker_;
    std::vector<std::string> broken_;
};

} // namespace hemlockdeal::jobs::test
