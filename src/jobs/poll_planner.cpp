// Decides which workers to poll, and with which contents.
#include "jobs/poll_planner.hpp"

#include <algorithm>

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
            is_due(worker, now, permission))
        {
            order_poll(worker, now, permission);
        }
    }
}

bool poll_planner::needs_report(const fleet_worker& worker, time_point now)
{
    return std::ranges::any_of(
        worker.unanswered.orders(), [&](const auto& entry) {
            return entry.second.latest_start <= now &&
                   worker.contact_at < entry.second.latest_start;
        });
}

bool poll_planner::is_due(const fleet_worker& worker, time_point now,
                          poll_permission permission) const
{
    const bool is_presumed_gone = worker.is_unlisted && worker.runs().empty();
    if (is_presumed_gone || worker.has_ended)
    {
        return false;
    }
    if (permission.must_poll_all &&
        now - worker.contact_at.value_or(time_point{}) >
            state_.options.lease_extension_contact / 2)
    {
        return true;
    }
    return !worker.has_been_seen() || worker.has_restarted ||
           worker.accepts_earlier_orders() || !worker.knows_clock() ||
           worker.failed_polls > 0 || !worker.runs().empty() ||
           worker.has_unstored_ends() || worker.has_more_ends ||
           !worker.held_ends.empty() || needs_report(worker, now);
}

void poll_planner::order_poll(fleet_worker& worker, time_point now,
                              poll_permission permission)
{
    poll_order poll{worker.entry.id, std::nullopt, 0, {}};
    // A worker that has restarted numbers its ends from the start again. A
    // number from before the restart, sent unnecessarily or after a silence,
    // would make it discard ends that the leader has not received. So ends are
    // acknowledged only if there is something new and the last poll was
    // answered.
    const auto acknowledgeable = worker.acknowledgeable_ends(now);
    if (worker.failed_polls == 0 && acknowledgeable > worker.acknowledged_ends)
    {
        poll.acknowledged = acknowledgeable;
    }
    worker.acknowledging = poll.acknowledged;
    // An unanswered poll may have been carried out. If polls to a silent worker
    // extended its leases, its tasks could never be started elsewhere.
    if (permission.may_extend_leases && worker.knows_clock() &&
        worker.failed_polls == 0 && !worker.may_have_stored_bound)
    {
        poll.deadline =
            worker.clock_at(now) +
            std::chrono::duration_cast<worker_clock>(state_.options.max_lease);
        worker.note_deadline(*poll.deadline);
    }
    const bool may_wait = !permission.must_poll_all && worker.knows_clock() &&
                          !worker.has_unstored_ends() &&
                          worker.held_ends.empty() &&
                          worker.unreadable_ends == 0 &&
                          worker.failed_polls == 0 && !worker.runs().empty();
    if (may_wait)
    {
        const bool is_urgent =
            worker.trial_count() > 0 ||
            (worker.serving_count() > 0 && worker.fill_count() > 0);
        poll.wait = std::chrono::duration_cast<std::chrono::milliseconds>(
            is_urgent ? state_.options.mixed_poll_wait
                      : state_.options.poll_wait);
    }
    worker.poll_sent_at = now;
    worker.poll_restarts = worker.restarts();
    worker.poll_wait = poll.wait;
    state_.orders.emplace_back(poll);
}

} // namespace hemlockdeal::jobs
