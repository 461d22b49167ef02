// Selection of the workers among which a place is searched.
#include "jobs/candidate_workers.hpp"

#include <algorithm>
#include <cstdint>

namespace hemlockdeal::jobs
{

namespace
{

// A long-running task that has found no room for this long also takes a worker
// that has failed tasks or is slow, or on which a suspect is tried: the worker
// may be healthy, and the task has no limit of attempts.
constexpr duration max_long_running_wait_for_healthy = std::chrono::seconds(1);
// Any other task does so after this time and while less than half of the
// service is in use, unless the worker rejects starts: jobs that fail
// everywhere may have made healthy workers look faulty, and a task must not
// wait for 3 s beside so much free room, of which the next full search may take
// 0.25 s. On a busy service it waits, because each failure takes one of its
// attempts.
constexpr duration max_wait_for_healthy = std::chrono::milliseconds(2200);

bool has_waited(const waiting_step& step, duration limit, time_point now)
{
    const auto& since = step.record().waiting_since;
    return since && now - *since >= limit;
}

bool may_use_all(const waiting_step& step, time_point now)
{
    return step.definition().is_long_running &&
           has_waited(step, max_long_running_wait_for_healthy, now);
}

} // namespace

void candidate_workers::update(time_point now)
{
    usable_.clear();
    freed_.clear();
    distrusted_.clear();
    on_trial_.clear();
    is_lightly_used_.clear();
    avoided_.clear();
    for (auto& [id, worker] : state_.fleet)
    {
        const bool has_freed_capacity = worker.take_freed_capacity();
        if (!eligibility_.is_open(worker, now))
        {
            continue;
        }
        const bool is_on_trial = worker.trial_count() > 0;
        if (worker.health.is_rejecting(now))
        {
            avoided_.push_back(&worker);
            continue;
        }
        if (is_on_trial || worker.health.is_distrusted(now))
        {
            (is_on_trial ? on_trial_ : distrusted_).push_back(&worker);
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
    if (may_use_all(step, now))
    {
        const bool may_share = has_waited(step, max_long_running_wait, now);
        lists.push_back({avoided_, may_share ? search_mode::shared_trial
                                             : search_mode::beside_trial});
    }
    else if (may_use_any_room(step, now))
    {
        if (step.definition().fills)
        {
            lists.push_back({usable_, search_mode::any_room});
        }
        lists.push_back({distrusted_, search_mode::any_room});
        lists.push_back({on_trial_, search_mode::shared_trial});
    }
    return lists;
}

std::vector<fleet_worker*> candidate_workers::all_for(const waiting_step& step,
                                                      time_point now) const
{
    auto workers = usable_;
    if (may_use_all(step, now))
    {
        workers.insert(workers.end(), avoided_.begin(), avoided_.end());
    }
    else if (may_use_any_room(step, now))
    {
        workers.insert(workers.end(), distrusted_.begin(), distrusted_.end());
        workers.insert(workers.end(), on_trial_.begin(), on_trial_.end());
    }
    return workers;
}

bool candidate_workers::may_use_any_room(const waiting_step& step,
                                         time_point now) const
{
    const bool is_affected =
        step.definition().fills || !distrusted_.empty() || !on_trial_.empty();
    return is_affected && has_waited(step, max_wait_for_healthy, now) &&
           is_lightly_used(step.owner->definition().policy.service);
}

bool candidate_workers::is_lightly_used(const service_id& service) const
{
    const auto [entry, is_new] = is_lightly_used_.try_emplace(service);
    if (!is_new)
    {
        return entry->second;
    }
    std::int64_t capacity = 0;
    std::int64_t in_use = 0;
    for (const auto* const workers : {&usable_, &distrusted_, &on_trial_})
    {
        for (const auto* const worker : *workers)
        {
            if (worker->entry.service != service)
            {
                continue;
            }
            const auto room = worker->entry.capacity.processor_millis;
            const auto used =
                worker->room_used().processor_millis + worker->fill_demand();
            capacity += room;
            in_use += std::min(used, room);
        }
    }
    entry->second = in_use * 2 < capacity;
    return entry->second;
}

} // namespace hemlockdeal::jobs
