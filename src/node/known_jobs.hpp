// What an entry VM has learnt of stored jobs and may rely on without a read.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>

#include "jobs/jobs.hpp"

namespace hemlockdeal::node
{

// Forgets everything of one kind once it holds `max_jobs` of them.
class known_jobs
{
public:
    explicit known_jobs(std::size_t max_jobs) : max_jobs_(max_jobs) {}

    // The job's row is in the store.
    void add_stored(const job_id& id)
    {
        if (stored_.size() >= max_jobs_)
        {
            stored_.clear();
        }
        stored_.insert(id);
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
    std::set<job_id> stored_;
    std::map<job_id, jobs::job_state> finished_;
};

} // namespace hemlockdeal::node
