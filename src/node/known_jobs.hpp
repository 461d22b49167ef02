// What an entry VM has learnt of stored jobs and may rely on without a read.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <utility>

#include "jobs/jobs.hpp"

namespace hemlockdeal::node
{

// Forgets everything of one kind once it holds `max_jobs` of them.
class known_jobs
{
public:
    explicit known_jobs(std::size_t max_jobs) : max_jobs_(max_jobs) {}

    // The job's row is in the store. `owner` is empty for a job without an
    // account.
    void add_stored(const job_id& id, account_id owner)
    {
        if (stored_.size() >= max_jobs_)
        {
            stored_.clear();
        }
        stored_.insert_or_assign(id, std::move(owner));
    }
    // False if the job is known to belong to another account than the caller's.
    bool may_be_shown_to(const job_id& id, const account_id& caller) const
    {
        const auto found = stored_.find(id);
        return found == stored_.end() || found->second.empty() ||
               caller.empty() || found->second == caller;
    }
    bool is_stored(const job_id& id) const { return stored_.contains(id); }

    // The job has ended in this state, which does not change later.
    void add_finished(const job_id& id, jobs::job_state state)
    {
        if (finished_.size() >= max_jobs_)
        {
            finished_.clear();
        }
        finished_[id] = state;
    }
    // Empty if the job is not known to have finished.
    std::optional<jobs::job_state> final_state(const job_id& id) const
    {
        const auto found = finished_.find(id);
        return found == finished_.end() ? std::nullopt
                                        : std::optional(found->second);
    }

private:
    std::size_t max_jobs_;
    // Owners by job.
    std::map<job_id, account_id> stored_;
    std::map<job_id, jobs::job_state> finished_;
};

} // namespace hemlockdeal::node
