// Lists of workers by the outcome of a step's runs there.
#include "jobs/run_outcomes.hpp"

#include <algorithm>

namespace hemlockdeal::jobs
{

namespace
{

bool contains(const std::vector<worker_id>& list, const worker_id& worker)
{
    return std::ranges::find(list, worker) != list.end();
}

} // namespace

void run_outcomes::add_failure(const worker_id& worker)
{
    std::erase(completed_on_, worker);
    if (!contains(failed_on_, worker) && failed_on_.size() < max_failed_workers)
    {
        failed_on_.push_back(worker);
    }
}

void run_outcomes::add_completion(const worker_id& worker)
{
    if (!contains(failed_on_, worker) && !contains(completed_on_, worker) &&
        completed_on_.size() < max_completed_workers)
    {
        completed_on_.push_back(worker);
    }
}

bool run_outcomes::lists(const worker_id& worker) const
{
    return contains(failed_on_, worker) || contains(completed_on_, worker);
}

} // namespace hemlockdeal::jobs
