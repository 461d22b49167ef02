// Recovery of the runs that earlier leaders started.
#include "jobs/takeover_recovery.hpp"

#include <algorithm>

namespace hemlockdeal::jobs
{

void takeover_recovery::recover_fleet(
    const std::vector<fleet_record>& may_run_tasks)
{
    for (const auto& record : may_run_tasks)
    {
        auto& unseen = unseen_workers_[record.worker] = record;
        crashes_.recover(unseen);
    }
    recovered_workers_ = unseen_workers_.size();
}

void takeover_recovery::begin(time_point now,
                              const earlier_leaders& predecessors)
{
    leases_expire_at_ = last_expiry(now, predecessors);
    handed_over_epoch_ = predecessors.handed_over_epoch;
    for (const auto& [id, record] : unseen_workers_)
    {
        if (has_bound(record))
        {
            const auto ends_at =
                state_.clock.reached_by(record.leases->ends_at);
            expire_earlier_at_.emplace(
                id, std::min(ends_at.value_or(leases_expire_at_),
                             leases_expire_at_));
        }
    }
    has_begun_ = true;
    begun_at_ = now;
    state_.log_event(
        "recovery of earlier runs started",
        {{"last_leader_has_ended", predecessors.last_has_ended ? "yes" : "no"},
         {"workers_recorded", std::to_string(unseen_workers_.size())},
         {"known_lease_ends", std::to_string(expire_earlier_at_.size())},
         {"leases_end_in_ms",
          std::to_string((leases_expire_at_ - now).count() / 1000)}});
    check(now);
}

time_point
takeover_recovery::last_expiry(time_point now,
                               const earlier_leaders& predecessors) const
{
    const auto& options = state_.options;
    const auto latest = now + longest_lease(options) + options.lead_overlap +
                        options.lease_extension_time;
    if (!predecessors.last_has_ended)
    {
        return latest;
    }
    if (!predecessors.leases_end)
    {
        return now + longest_lease(options);
    }
    // A time beyond the latest possible one shows that the store's clock has
    // been set back.
    return std::min(
        state_.clock.reached_by(*predecessors.leases_end).value_or(latest),
        latest);
}

void takeover_recovery::bound_lease_extension(time_point now)
{
    // Once more than two thirds of the workers follow this leader, an earlier
    // leader that needs responses from most workers can receive no further
    // ones.
    const auto seen =
        recovered_workers_ - unseen_workers_.size() - expired_workers_;
    if (lease_extension_is_bounded_ || 3 * seen <= 2 * recovered_workers_)
    {
        return;
    }
    lease_extension_is_bounded_ = true;
    const auto& options = state_.options;
    const auto last_extension = std::max(begun_at_ + options.lead_overlap +
                                             options.lease_extension_contact,
                                         now + options.lease_extension_contact);
    leases_expire_at_ =
        std::min(leases_expire_at_, last_extension + longest_lease(options));
    state_.log_event(
        "most workers follow this leader",
        {{"workers_not_seen", std::to_string(unseen_workers_.size())},
         {"leases_end_in_ms",
          std::to_string((leases_expire_at_ - now).count() / 1000)}});
}

bool takeover_recovery::has_unknown_runs() const
{
    return std::ranges::any_of(unseen_workers_, [](const auto& unseen) {
        return !unseen.second.runs.has_value();
    });
}

void takeover_recovery::check(time_point now)
{
    if (!has_begun_ || leases_expire_at_ == time_point{})
    {
        return;
    }
    forget_expired(now);
    if (unseen_workers_.empty() || now >= leases_expire_at_)
    {
        end(now);
    }
    if (is_complete())
    {
        return;
    }
    if (now < leases_expire_at_)
    {
        bound_lease_extension(now);
    }
    if (unseen_workers_changed_ && !has_unknown_runs())
    {
        update_uncertain_tasks();
    }
}

void takeover_recovery::on_worker_seen(fleet_worker& worker)
{
    const auto unseen = unseen_workers_.find(worker.entry.id);
    if (unseen == unseen_workers_.end())
    {
        return;
    }
    worker.note_earlier_leases(lease_expiry(worker.entry.id));
    if (unseen->second.runs)
    {
        // The store still lists the runs of this worker: it must record the
        // worker as open before other tasks are started there.
        worker.is_recorded = false;
        state_.mark_fleet_changed(worker.entry.id);
    }
    unseen_workers_.erase(unseen);
    unseen_workers_changed_ = true;
}

void takeover_recovery::on_incomplete_report(fleet_worker& worker)
{
    const auto& id = worker.entry.id;
    if (unseen_workers_.contains(id) &&
        unseen_with_more_ends_.insert(id).second)
    {
        worker.note_earlier_leases(lease_expiry(id));
    }
}

time_point takeover_recovery::lease_expiry(const worker_id& id) const
{
    const auto earlier = expire_earlier_at_.find(id);
    return earlier == expire_earlier_at_.end()
               ? leases_expire_at_
               : std::min(earlier->second, leases_expire_at_);
}

bool takeover_recovery::may_report_more_ends(const worker_id& id,
                                             time_point now) const
{
    const auto* const worker = state_.find_worker(id);
    if (worker == nullptr || worker->has_ended ||
        !unseen_with_more_ends_.contains(id))
    {
        return false;
    }
    // Ends on a worker whose leases have expired no longer count.
    const bool is_silent =
        worker->failed_polls > 0 || worker->poll_sent_at.has_value();
    return !is_silent ||
           now <= worker->leases_expire_at(state_.options.clock_error);
}

void takeover_recovery::on_vm_replaced(const fleet_worker& later,
                                       time_point now)
{
    const auto& vm = later.entry.vm;
    // The recorded workers ran before this leader sent its first poll.
    const auto is_earlier = [&](const auto& unseen) {
        return unseen.second.vm == vm && unseen.first != later.entry.id;
    };
    for (auto unseen = std::ranges::find_if(unseen_workers_, is_earlier);
         unseen != unseen_workers_.end();
         unseen = std::ranges::find_if(unseen_workers_, is_earlier))
    {
        state_.mark_fleet_changed(unseen->first);
        crashes_.on_recorded_end(unseen->second, now);
        unseen_workers_.erase(unseen);
        unseen_workers_changed_ = true;
        // It has ended, so that it follows no leader.
        --recovered_workers_;
    }
}

void takeover_recovery::on_entry_lost(const worker_id& id, bool is_malformed)
{
    if (is_malformed && unseen_workers_.contains(id))
    {
        unseen_with_malformed_entry_.insert(id);
        return;
    }
    unseen_with_malformed_entry_.erase(id);
}

bool takeover_recovery::has_left_list(const worker_id& id) const
{
    const auto* const worker = state_.find_worker(id);
    if (worker == nullptr)
    {
        return !unseen_with_malformed_entry_.contains(id);
    }
    return worker->is_unlisted && !worker->has_malformed_entry;
}

bool takeover_recovery::has_bound(const fleet_record& record) const
{
    // Another leader may have extended the leases since an older bound was
    // stored.
    return handed_over_epoch_ > 0 && record.leases &&
           record.leases->epoch == handed_over_epoch_;
}

fleet_record takeover_recovery::hand_over(const fleet_record& record,
                                          time_point now) const
{
    auto out = record;
    if (is_complete())
    {
        return out;
    }
    auto expiry = lease_expiry(record.worker);
    if (may_report_more_ends(record.worker, now))
    {
        // This leader has extended the leases.
        const auto* const worker = state_.find_worker(record.worker);
        expiry = std::max(expiry,
                          worker->leases_expire_at(state_.options.clock_error));
    }
    const auto ends_at = state_.clock.latest_at(expiry);
    out.leases = ends_at ? std::optional(lease_bound{state_.epoch, *ends_at})
                         : std::nullopt;
    if (!has_bound(record))
    {
        out.unanswered_starts.clear();
    }
    return out;
}

void takeover_recovery::on_leases_expired(const fleet_record& record,
                                          time_point now)
{
    if (has_left_list(record.worker))
    {
        crashes_.on_recorded_end(record, now);
    }
    if (has_bound(record))
    {
        delay_unanswered_starts(record);
    }
    // The stored record is obsolete: the worker is gone, or tasks may be
    // started on it again.
    state_.mark_fleet_changed(record.worker);
}

void takeover_recovery::delay_unanswered_starts(const fleet_record& record)
{
    for (const auto& start : record.unanswered_starts)
    {
        auto* const owner = state_.registry.find(start.task.job);
        if (owner != nullptr && owner->has(start.task))
        {
            owner->task(start.task).not_before =
                state_.clock.reached_by(start.until)
                    .value_or(begun_at_ + state_.options.max_order_delay);
        }
    }
}

void takeover_recovery::forget_expired(time_point now)
{
    for (const auto& [id, expiry] : expire_earlier_at_)
    {
        const auto unseen = unseen_workers_.find(id);
        if (now < expiry || unseen == unseen_workers_.end() ||
            may_report_more_ends(id, now))
        {
            continue;
        }
        on_leases_expired(unseen->second, now);
        unseen_workers_.erase(unseen);
        unseen_with_malformed_entry_.erase(id);
        ++expired_workers_;
        unseen_workers_changed_ = true;
    }
    std::erase_if(expire_earlier_at_, [&](const auto& entry) {
        return now >= entry.second && !may_report_more_ends(entry.first, now);
    });
}

void takeover_recovery::end(time_point now)
{
    std::size_t expired = 0;
    for (auto unseen = unseen_workers_.begin();
         unseen != unseen_workers_.end();)
    {
        if (may_report_more_ends(unseen->first, now))
        {
            ++unseen;
            continue;
        }
        on_leases_expired(unseen->second, now);
        unseen = unseen_workers_.erase(unseen);
        unseen_workers_changed_ = true;
        ++expired;
    }
    if (!unseen_workers_.empty())
    {
        return;
    }
    state_.log_event("recovery of earlier runs complete",
                     {{"not_seen", std::to_string(expired)}});
    unseen_with_malformed_entry_.clear();
    unseen_with_more_ends_.clear();
    expire_earlier_at_.clear();
    leases_expire_at_ = {};
    update_uncertain_tasks();
}

void takeover_recovery::update_uncertain_tasks()
{
    unseen_workers_changed_ = false;
    for (const auto& [id, live] : state_.registry.live())
    {
        live->clear_uncertain_tasks();
    }
    std::size_t uncertain = 0;
    for (const auto& [id, record] : unseen_workers_)
    {
        for (const auto& key : *record.runs)
        {
            auto* const owner = state_.registry.find(key.job);
            if (owner != nullptr && owner->has(key))
            {
                owner->mark_uncertain(key);
                ++uncertain;
            }
        }
    }
    state_.log_event(
        "recovered tasks may be placed",
        {{"workers_not_seen", std::to_string(unseen_workers_.size())},
         {"in_doubt", std::to_string(uncertain)}});
}

} // namespace hemlockdeal::jobs
