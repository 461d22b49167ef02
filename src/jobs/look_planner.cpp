// Implements the plan of looks.
#include "jobs/look_planner.hpp"

namespace hemlockdeal::jobs
{

void look_planner::plan(time_point now, look_permission permission)
{
    if (!permission.may_look)
    {
        return;
    }
    for (auto& [id, worker] : state_.fleet)
    {
        if (!worker.look_sent_at && worker.next_look <= now &&
            is_wanted(worker, now, permission))
        {
            order_look(worker, now, permission);
        }
    }
}

bool look_planner::is_wanted(const fleet_worker& worker, time_point now,
                             look_permission permission) const
{
    const bool may_be_gone = worker.is_unlisted && worker.runs().empty();
    if (may_be_gone)
    {
        return false;
    }
    if (permission.must_see_all &&
        now - worker.contact_at.value_or(time_point{}) >
            state_.options.holding_contact / 2)
    {
        return true;
    }
    return !worker.has_been_seen() || worker.has_restarted ||
           !worker.knows_clock() || worker.failed_looks > 0 ||
           !worker.runs().empty() || worker.has_unstored_ends();
}

void look_planner::order_look(fleet_worker& worker, time_point now,
                              look_permission permission)
{
    look_order look{worker.entry.id, std::nullopt, 0, {}};
    // A worker that has started again counts its ends anew: a number from its
    // last life, sent for no reason or after a silence, would make it forget
    // ends that nobody has seen.
    if (worker.failed_looks == 0 &&
        worker.stored_ends > worker.acknowledged_ends)
    {
        look.acknowledged = worker.stored_ends;
    }
    worker.acknowledging = look.acknowledged;
    // A look without an answer may have been carried out. If looks at a silent
    // worker prolonged its leases, its tasks could never be placed anew.
    if (permission.may_prolong && worker.knows_clock() &&
        worker.failed_looks == 0)
    {
        look.deadline =
            worker.clock_at(now) + std::chrono::duration_cast<worker_clock>(
                                       state_.options.longest_lease);
        worker.note_deadline(*look.deadline);
    }
    const bool may_wait = !permission.must_see_all && worker.knows_clock() &&
                          !worker.has_unstored_ends() &&
                          worker.failed_looks == 0 && !worker.runs().empty();
    if (may_wait)
    {
        const bool is_mixed =
            worker.serving_count() > 0 && worker.fill_count() > 0;
        look.wait = std::chrono::duration_cast<std::chrono::milliseconds>(
            is_mixed ? state_.options.mixed_look_wait
                     : state_.options.look_wait);
    }
    worker.look_sent_at = now;
    state_.orders.emplace_back(look);
}

} // namespace hemlockdeal::jobs
