// All jobs that are not over, and which of them the store does not know in
// their newest state.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "jobs/live_job.hpp"

namespace hemlockdeal::jobs
{

// Bounds of one transaction.
struct change_limits
{
    std::size_t most_jobs = 60;
    // Bytes of all texts together; the last one may go beyond.
    std::size_t bytes = 300'000;
    // Bytes of one text.
    std::size_t row = default_row_limit;
};

class job_registry
{
public:
    // False if the job is known, also as one that is over.
    bool add(job definition, const std::optional<job_progress>& progress);

    live_job* find(const job_id& id);
    // Jobs that are not over, by id.
    std::map<job_id, std::unique_ptr<live_job>>& live() { return live_; }
    const std::map<job_id, std::unique_ptr<live_job>>& live() const
    {
        return live_;
    }

    bool is_known(const job_id& id) const;
    // The state of a job that is over.
    const std::map<job_id, job_state>& over() const { return over_; }

    // The store has to learn the job's progress.
    void mark_changed(const job_id& id) { changed_.insert(id); }
    bool has_changes() const { return !changed_.empty(); }

    // Ends the job; its tasks are forgotten, its state is kept.
    void finish(const job_id& id, job_state state);

    // Forgets a job that is over.
    void forget(const job_id& id) { over_.erase(id); }

    // The stored form of changed jobs for change set `number`; they count as
    // unchanged.
    std::vector<std::pair<job_id, std::string>>
    take_changes(change_limits limits, std::uint64_t number);

    // For each queue the jobs without repetition of which nothing has
    // started.
    std::map<std::string, std::size_t> pending() const;

private:
    std::map<job_id, std::unique_ptr<live_job>> live_;
    std::map<job_id, job_state> over_;
    std::set<job_id> changed_;
};

} // namespace hemlockdeal::jobs
