// Recovery of the runs that earlier leaders started.
#include "jobs/takeover_recovery.hpp"

#include <algorithm>
#include <iterator>

namespace hemlockdeal::jobs
{

namespace
{

// How often it is determined whether a start without a response can still take
// effect.
constexpr duration unanswered_start_interval = std::chrono::milliseconds(300);

} // namespace

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
    bounds_since_ = predecessors.bounds_since;
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
    const auto latest = latest_lease_end(options, now);
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

bool takeover_recovery::may_run_on_unseen_worker(const task_key& key) const
{
    return std::ranges::any_of(unseen_workers_, [&](const auto& unseen) {
        const auto& runs = unseen.second.runs;
        return !runs || std::ranges::find(*runs, key) != runs->end();
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
    store_bounds(now);
    if (unseen_workers_changed_ && !has_unknown_runs())
    {
        update_uncertain_tasks();
    }
}

void takeover_recovery::note_earlier_leases(fleet_worker& worker) const
{
    // The worker refuses earlier leaders from its first response on.
    worker.note_earlier_leases(
        std::min(lease_expiry(worker.entry.id),
                 worker.responded_at + longest_lease(state_.options)));
}

time_point takeover_recovery::latest_start(const unanswered_start& start) const
{
    const auto latest = begun_at_ + state_.options.max_order_delay;
    return std::min(state_.clock.reached_by(start.until).value_or(latest),
                    latest);
}

void takeover_recovery::adopt_unanswered_starts(fleet_worker& worker)
{
    const auto unseen = unseen_workers_.find(worker.entry.id);
    if (unseen == unseen_workers_.end())
    {
        return;
    }
    for (const auto& start : unseen->second.unanswered_starts)
    {
        // Also for a task that is done, whose end the worker may still list.
        worker.unanswered.add(start.task, start.run, latest_start(start));
        auto* const owner = state_.registry.find(start.task.job);
        if (owner != nullptr && owner->has(start.task))
        {
            owner->task(start.task).bound_to = worker.entry.id;
        }
    }
}

void takeover_recovery::on_worker_seen(fleet_worker& worker)
{
    const auto unseen = unseen_workers_.find(worker.entry.id);
    if (unseen == unseen_workers_.end())
    {
        return;
    }
    note_earlier_leases(worker);
    if (unseen->second.runs || unseen->second.leases || stores_bounds_)
    {
        // The store must record the worker as open before other tasks are
        // started there or its leases are extended.
        worker.is_recorded = false;
        worker.may_have_stored_bound = true;
        state_.mark_fleet_changed(worker.entry.id);
    }
    unseen_workers_.erase(unseen);
    unseen_workers_changed_ = true;
}

void takeover_recovery::on_incomplete_report(fleet_worker& worker)
{
    const auto& id = worker.entry.id;
    const auto unseen = unseen_workers_.find(id);
    if (unseen == unseen_workers_.end() ||
        !unseen_with_more_ends_.insert(id).second)
    {
        return;
    }
    note_earlier_leases(worker);
    if (unseen->second.leases || stores_bounds_)
    {
        worker.may_have_stored_bound = true;
        state_.mark_fleet_changed(id);
    }
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
    return bounds_since_ > 0 && record.leases &&
           record.leases->epoch >= bounds_since_;
}

void takeover_recovery::store_bounds(time_point now)
{
    if (stores_bounds_ || now - begun_at_ < state_.options.lease_bound_delay)
    {
        return;
    }
    stores_bounds_ = true;
    for (const auto& [id, record] : unseen_workers_)
    {
        state_.mark_fleet_changed(id);
    }
}

fleet_record
takeover_recovery::record_to_store(const fleet_record& record) const
{
    if (has_responded(record.worker))
    {
        auto out = record;
        out.leases.reset();
        return out;
    }
    return stores_bounds_ && !is_complete()
               ? with_bound(record, lease_expiry(record.worker))
               : record;
}

time_point takeover_recovery::lease_expiry(const worker_id& id) const
{
    const auto earlier = expire_earlier_at_.find(id);
    return earlier == expire_earlier_at_.end()
               ? leases_expire_at_
               : std::min(earlier->second, leases_expire_at_);
}

fleet_record takeover_recovery::with_bound(const fleet_record& record,
                                           time_point expiry) const
{
    auto out = record;
    const auto ends_at = state_.clock.latest_at(expiry);
    if (!ends_at)
    {
        return out;
    }
    out.leases = lease_bound{state_.epoch, *ends_at};
    return out;
}

fleet_record takeover_recovery::hand_over(const fleet_record& record,
                                          time_point now) const
{
    if (is_complete())
    {
        return record;
    }
    auto expiry = lease_expiry(record.worker);
    if (may_report_more_ends(record.worker, now))
    {
        // This leader has extended the leases.
        const auto* const worker = state_.find_worker(record.worker);
        expiry = std::max(expiry,
                          worker->leases_expire_at(state_.options.clock_error));
    }
    return with_bound(record, expiry);
}

void takeover_recovery::on_leases_expired(fleet_record& record, time_point now)
{
    if (has_left_list(record.worker))
    {
        crashes_.on_recorded_end(record, now);
    }
    record.suspects.clear();
    record.late_suspects.clear();
    // The stored record is obsolete: the worker is gone, or tasks may be
    // started on it again.
    state_.mark_fleet_changed(record.worker);
    unseen_workers_changed_ = true;
}

bool takeover_recovery::awaits_start(const fleet_record& record,
                                     const unanswered_start& start,
                                     time_point now) const
{
    const auto* const owner = state_.registry.find(start.task.job);
    if (owner == nullptr || !owner->has(start.task) ||
        (owner->step_of(start.task).is_long_running &&
         has_left_list(record.worker)))
    {
        return false;
    }
    auto until = latest_start(start);
    if (!owner->step_of(start.task).is_long_running)
    {
        // It may have been executed at the last moment.
        until += longest_granted_lease(state_.options);
    }
    return now < until;
}

bool takeover_recovery::retain_unanswered_starts(fleet_record& record,
                                                 time_point now)
{
    std::erase_if(record.unanswered_starts, [&](const auto& start) {
        return !awaits_start(record, start, now);
    });
    if (record.unanswered_starts.empty())
    {
        return false;
    }
    record.runs.emplace();
    std::ranges::transform(record.unanswered_starts,
                           std::back_inserter(*record.runs),
                           &unanswered_start::task);
    expire_earlier_at_[record.worker] = now + unanswered_start_interval;
    leases_expire_at_ =
        std::max(leases_expire_at_, now + unanswered_start_interval);
    return true;
}

bool takeover_recovery::forget_if_expired(fleet_record& record, time_point now)
{
    if (may_report_more_ends(record.worker, now))
    {
        return false;
    }
    on_leases_expired(record, now);
    return !retain_unanswered_starts(record, now);
}

void takeover_recovery::forget_expired(time_point now)
{
    for (auto unseen = unseen_workers_.begin();
         unseen != unseen_workers_.end();)
    {
        const auto expiry = expire_earlier_at_.find(unseen->first);
        if (expiry == expire_earlier_at_.end() || now < expiry->second ||
            !forget_if_expired(unseen->second, now))
        {
            ++unseen;
            continue;
        }
        expire_earlier_at_.erase(unseen->first);
        unseen_with_malformed_entry_.erase(unseen->first);
        unseen = unseen_workers_.erase(unseen);
        ++expired_workers_;
    }
}

void takeover_recovery::end(time_point now)
{
    std::size_t expired = 0;
    for (auto unseen = unseen_workers_.begin();
         unseen != unseen_workers_.end();)
    {
        if (!forget_if_expired(unseen->second, now))
        {
            ++unseen;
            continue;
        }
        unseen = unseen_workers_.erase(unseen);
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
