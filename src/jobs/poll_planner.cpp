// Implements the plan of looks.
#include "jobs/poll_planner.hpp"

namespace hemlockdeal::jobs
{

void poll_planner::plan(time_point now, poll_permission permission)
{
    if (!permission.may_poll)
    {
        return;
    }
    for (auto& [id, worker] : state_.fleet)
    {
        if (!worker.poll_sent_at && worker.next_poll <= now &&
            is_wanted(worker, now, permission))
        {
            order_poll(worker, now, permission);
        }
    }
}

bool poll_planner::is_wanted(const fleet_worker& worker, time_point now,
                             poll_permission permission) const
{
    const bool may_be_gone = worker.is_unlisted && worker.runs().empty();
    if (may_be_gone)
    {
        return false;
    }
    if (permission.must_see_all &&
        now - worker.contact_at.value_or(time_point{}) >
            state_.options.lease_extension_contact / 2)
    {
        return true;
    }
    return !worker.has_been_seen() || worker.has_restarted ||
           !worker.knows_clock() || worker.failed_polls > 0 ||
           !worker.runs().empty() || worker.has_unstored_ends();
}

void poll_planner::order_poll(fleet_worker& worker, time_point now,
                              poll_permission permission)
{
    poll_order poll{worker.entry.id, std::nullopt, 0, {}};
    // A worker that has started again counts its ends anew: a number from its
    // last life, sent for no reason or after a silence, would make it forget
    // ends that nobody has seen.
    if (worker.failed_polls == 0 &&
        worker.stored_ends > worker.acknowledged_ends)
    {
        poll.acknowledged = worker.stored_ends;
    }
    worker.acknowledging = poll.acknowledged;
    // A look without an answer may have been carried out. If looks at a silent
    // worker prolonged its leases, its tasks could never be placed anew.
    if (permission.may_extend_leases && worker.knows_clock() &&
        worker.failed_polls == 0)
    {
        poll.deadline =
            worker.clock_at(now) +
            std::chrono::duration_cast<worker_clock>(state_.options.max_lease);
        worker.note_deadline(*poll.deadline);
    }
    const bool may_wait = !permission.must_see_all && worker.knows_clock() &&
                          !worker.has_unstored_ends() &&
                          worker.failed_polls == 0 && !worker.runs().empty();
    if (may_wait)
    {
        const bool is_mixed =
            worker.serving_count() > 0 && worker.fill_count() > 0;
        poll.wait = std::chrono::duration_cast<std::chrono::milliseconds>(
            is_mixed ? state_.options.mixed_poll_wait
                     : state_.options.poll_wait);
    }
    worker.poll_sent_at = now;
    state_.orders.emplace_back(poll);
}

} // namespace hemlockdeal::jobs
