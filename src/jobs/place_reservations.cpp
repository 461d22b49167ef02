// Reservation of capacity between the announcement of a task and its start.
#include "jobs/place_reservations.hpp"

namespace hemlockdeal::jobs
{

void place_reservations::begin_pass()
{
    for (auto& [key, place] : reservations_)
    {
        place.is_applied = false;
    }
}

void place_reservations::end_pass()
{
    for (const auto& [key, place] : reservations_)
    {
        if (place.is_applied)
        {
            state_.find_worker(place.worker)->erase_run(key);
        }
    }
    std::erase_if(reservations_,
                  [](const auto& entry) { return !entry.second.is_applied; });
}

found_place place_reservations::find(const live_job& owner, const task_key& key,
                                     time_point now) const
{
    const auto found = reservations_.find(key);
    if (found == reservations_.end())
    {
        return {};
    }
    const auto mode = found->second.mode;
    auto* const worker = state_.find_worker(found->second.worker);
    const bool is_valid =
        worker != nullptr && eligibility_.is_available(*worker, mode, now) &&
        eligibility_.accepts_step(*worker, owner.step_of(key), now) &&
        worker_eligibility::may_start_beside_trial(*worker, owner.peek(key),
                                                   mode, true, now) &&
        eligibility_.may_run(*worker, owner, key, now);
    return is_valid ? found_place{worker, mode} : found_place{};
}

void place_reservations::reserve(live_job& owner, const task_key& key,
                                 const found_place& place, time_point now)
{
    auto reserved = make_run(owner.definition(), owner.step_of(key), 0, now);
    set_evidence(reserved, owner.task(key));
    place.worker->add_run(key, reserved);
    reservations_[key] = {place.worker->entry.id, place.mode, true};
}

} // namespace hemlockdeal::jobs
