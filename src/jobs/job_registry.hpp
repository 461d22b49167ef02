// Registry of unfinished jobs, and of changes that are not stored yet.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "jobs/live_job.hpp"

namespace hemlockdeal::jobs
{

// Limits of one transaction.
struct change_limits
{
    std::size_t max_jobs = 60;
    // Total size in bytes of all texts; the last one may exceed it.
    std::size_t bytes = 300'000;
    // Maximum size in bytes of one text.
    std::size_t row = default_row_limit;
};

class job_registry
{
public:
    // False if the job is already known, including finished jobs.
    bool add(job definition, const std::optional<job_progress>& progress);

    live_job* find(const job_id& id);
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

    // Finishes the job: drops its tasks and keeps its final state.
    void finish(const job_id& id, job_state state);

    // Removes a finished job.
    void forget(const job_id& id) { over_.erase(id); }

    // Encoded progress of changed jobs for change set `number`, within the
    // limits; the jobs no longer count as changed.
    std::vector<std::pair<job_id, std::string>>
    take_changes(change_limits limits, std::uint64_t number);

    // By queue, the number of non-repeating jobs of which no task has started.
    std::map<std::string, std::size_t> pending() const;

private:
    std::map<job_id, std::unique_ptr<live_job>> live_;
    std::map<job_id, job_state> over_;
    std::set<job_id> changed_;
};

} // namespace hemlockdeal::jobs
