// Registry of unfinished jobs, and of changes that are not stored yet.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/core.hpp"
#include "jobs/live_job.hpp"

namespace hemlockdeal::jobs
{

// Limits of one transaction.
struct change_limits
{
    std::size_t max_rows = 60;
    // Total size in bytes of all texts; the last one may exceed it.
    std::size_t bytes = 300'000;
    // Maximum size in bytes of one text.
    std::size_t row = default_row_limit;
};

// The main row of a job with more tasks than this holds no histories. They are
// in further rows, each for so many tasks, which leaves about 450 bytes for the
// failures and crashes of one task.
constexpr std::uint32_t tasks_per_history_row = 100;

// Number of the row that holds the history of the task.
std::uint32_t history_row_of(const job& owner,
                             const job_progress::task_position& position);

// Row with the histories of some tasks of a job; without a text it is removed.
struct history_row
{
    job_id job;
    std::uint32_t number = 0;
    std::optional<std::string> text;
};

struct job_changes
{
    // Encoded progress by job.
    std::vector<std::pair<job_id, std::string>> progress;
    std::vector<history_row> histories;

    std::size_t rows() const { return progress.size() + histories.size(); }
};

// What is still needed of a client account's job that has ended: its runs may
// be on workers for a while.
struct ended_job
{
    account_id account;
    // Sizes of the tasks of each step.
    std::vector<task_size> step_sizes;
    // Tasks whose runs may not have ended with the job.
    std::vector<job_progress::task_position> ending;
    // When the job ended; empty if the store's clock was not known.
    std::optional<store_time> at;
    // When this leader learnt that the job has ended.
    std::optional<time_point> noticed_at;
};

// What a run counts against the cap of its account.
struct account_run
{
    account_id account;
    task_size size;
};

class job_registry
{
public:
    // False if the job is already known, including finished jobs.
    bool add(job definition, const std::optional<job_progress>& progress);

    live_job* find(const job_id& id);
    const live_job* find(const job_id& id) const;
    // Unfinished jobs by id.
    std::map<job_id, std::unique_ptr<live_job>>& live() { return live_; }
    const std::map<job_id, std::unique_ptr<live_job>>& live() const
    {
        return live_;
    }

    bool is_known(const job_id& id) const;
    // Final states of finished jobs by id.
    const std::map<job_id, job_state>& over() const { return over_; }

    // Marks the job's progress for the next change set.
    void mark_changed(const job_id& id) { changed_.insert(id); }
    bool has_changes() const { return !changed_.empty(); }

    // Finishes the job: drops its tasks and keeps its final state. Its runs
    // and the withdrawn starts may be on workers for a while.
    void finish(const job_id& id, job_state state,
                std::optional<store_time> at = {},
                const std::set<task_key>& withdrawn = {});

    // Jobs of client accounts that ended a short time ago.
    const std::map<job_id, ended_job>& ended() const { return ended_; }
    // Forgets the ended jobs that have been known for longer than `age`.
    void forget_ended(time_point now, duration age);
    // The run of a task whose job has ended is in a worker's ledger from now
    // on. Empty if the job is not known or belongs to no account.
    std::optional<account_run> adopt_ended(const task_key& key);

    // Removes a finished job.
    void forget(const job_id& id)
    {
        over_.erase(id);
        ended_.erase(id);
    }

    // Rows of changed jobs for change set `number`, within the limits. Jobs all
    // of whose rows are among them no longer count as changed.
    job_changes take_changes(change_limits limits, std::uint64_t number);

    // Estimate of the memory that the unfinished jobs take, in bytes.
    std::size_t memory() const;

    // The same for the jobs of each account.
    std::map<account_id, std::size_t> memory_by_account() const;

    // By queue, the number of non-repeating jobs of which no task has started.
    std::map<std::string, std::size_t> pending() const;

private:
    // History rows by number, as they were last taken; empty for one that an
    // earlier leader stored.
    using taken_rows =
        std::map<std::uint32_t, std::optional<job_progress::history_map>>;

    // Adds the rows that differ from those last taken, and takes the histories
    // out of the progress. False if the limits were reached before the last
    // one.
    bool take_history_rows(const live_job& owner, job_progress& progress,
                           const change_limits& limits, job_changes& out);
    // Adds the removal of all history rows of a finished job.
    void remove_history_rows(const job_id& id, job_changes& out);

    std::map<job_id, std::unique_ptr<live_job>> live_;
    std::map<job_id, job_state> over_;
    std::map<job_id, ended_job> ended_;
    std::set<job_id> changed_;
    std::map<job_id, taken_rows> taken_histories_;
};

} // namespace hemlockdeal::jobs
