// Workers on which tasks of a step have failed, and on which they have not.
#pragma once

#include <cstddef>
#include <vector>

#include "core/core.hpp"

namespace hemlockdeal::jobs
{

// Tells a step that fails wherever its tasks run from workers that fail what
// they run. Invariant: no worker is in both lists.
class run_outcomes
{
public:
    // A task of the step has failed or stalled on the worker.
    void add_failure(const worker_id& worker);
    // A task of the step has completed on the worker.
    void add_completion(const worker_id& worker);

    // True if a task of the step has failed or completed on the worker.
    bool lists(const worker_id& worker) const;
    const std::vector<worker_id>& failed_on() const { return failed_on_; }
    const std::vector<worker_id>& completed_on() const { return completed_on_; }
    // Number of entries in both lists.
    std::size_t size() const
    {
        return failed_on_.size() + completed_on_.size();
    }

    // True if the step itself explains its failures: it has failed on several
    // workers, and on at least as many as it has not failed on. They
    // are running on `others` workers that are in neither list.
    bool explain_failures(std::size_t others) const
    {
        return failed_on_.size() >= min_failed_workers &&
               failed_on_.size() >= completed_on_.size() + others;
    }

    static constexpr std::size_t min_failed_workers = 2;
    // Bounds the memory of a step. Completions have room for more, so that a
    // step that fails on some workers of a large fleet and completes on most of
    // them still speaks against the workers.
    static constexpr std::size_t max_failed_workers = 8;
    static constexpr std::size_t max_completed_workers = 9;

private:
    std::vector<worker_id> failed_on_;
    std::vector<worker_id> completed_on_;
};

} // namespace hemlockdeal::jobs
