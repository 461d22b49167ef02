// Selection of the workers among which a place is searched.
#include "jobs/candidate_workers.hpp"

namespace hemlockdeal::jobs
{

namespace
{

// A long-running task that has found no room for this long also takes a worker
// that has failed tasks or is slow, or on which a suspect is tried: the worker
// may be sound, and the task has no limit of attempts.
constexpr duration max_wait_for_sound_worker = std::chrono::seconds(1);

bool may_use_avoided_workers(const waiting_step& step, time_point now)
{
    const auto& since = step.record().waiting_since;
    return step.definition().is_long_running && since &&
           now - *since >= max_wait_for_sound_worker;
}

} // namespace

void candidate_workers::update(time_point now)
{
    usable_.clear();
    freed_.clear();
    avoided_.clear();
    for (auto& [id, worker] : state_.fleet)
    {
        const bool has_freed_capacity = worker.take_freed_capacity();
        if (!eligibility_.is_open(worker, now))
        {
            continue;
        }
        if (!eligibility_.is_available(worker, now) || worker.trial_count() > 0)
        {
            avoided_.push_back(&worker);
            continue;
        }
        usable_.push_back(&worker);
        if (has_freed_capacity)
        {
            freed_.push_back(&worker);
        }
    }
}

std::deque<worker_list> candidate_workers::lists_for(const waiting_step& step,
                                                     bool is_full_search,
                                                     time_point now) const
{
    if (!is_full_search)
    {
        return {{freed_}};
    }
    std::deque<worker_list> lists = {{usable_}};
    if (may_use_avoided_workers(step, now))
    {
        lists.push_back({avoided_, true});
    }
    return lists;
}

} // namespace hemlockdeal::jobs
