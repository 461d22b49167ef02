// What a new leader knows of the runs that earlier leaders started.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "jobs/crash_attribution.hpp"
#include "jobs/fleet_record.hpp"
#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

// Tasks of recovered jobs wait until every worker that may run them has been
// seen, has ended, or its leases have expired.
class takeover_recovery
{
public:
    takeover_recovery(scheduler_state& state, crash_attribution& crashes)
        : state_(state), crashes_(crashes)
    {}

    // All jobs must have been recovered.
    void recover_fleet(const std::vector<fleet_record>& may_run_tasks);
    // Leases expire later if the last leader may still be alive and extend
    // them.
    void begin(time_point now, const earlier_leaders& predecessors);
    void check(time_point now);
    // The worker responds for the first time: its recorded starts without a
    // response count from now on as those of this leader do.
    void adopt_unanswered_starts(fleet_worker& worker);
    void on_worker_seen(fleet_worker& worker);
    // The worker has responded, but its report does not list all ends. Tasks
    // whose end it left out must not count as not running.
    void on_incomplete_report(fleet_worker& worker);
    // A worker has responded that runs on its VM after all recorded ones.
    void on_vm_replaced(const fleet_worker& later, time_point now);

    // The list shows no usable entry of a worker that this leader does not
    // know. A malformed one shows nothing of the worker.
    void on_entry_lost(const worker_id& id, bool is_malformed);

    // The record of an unseen worker as it is to be stored.
    fleet_record record_to_store(const fleet_record& record) const;
    // The same for the leader to which this one hands over.
    fleet_record hand_over(const fleet_record& record, time_point now) const;
    // True if the worker responds, although it has not listed all ends.
    bool has_responded(const worker_id& id) const
    {
        return unseen_with_more_ends_.contains(id);
    }
    // When the last lease granted by an earlier leader expires; in the past if
    // the recovery is complete.
    time_point leases_expire_at() const { return leases_expire_at_; }

    // Number of workers for which an earlier leader stored when its leases end.
    std::size_t known_lease_ends() const { return expire_earlier_at_.size(); }

    // True if no run of an earlier leader is uncertain any more.
    bool is_complete() const
    {
        return has_begun_ && leases_expire_at_ == time_point{};
    }
    // Workers that have not been seen and on which an earlier leader may have
    // started tasks.
    const std::map<worker_id, fleet_record>& unseen_workers() const
    {
        return unseen_workers_;
    }
    // True if a run of the task may be on a worker that has not been seen.
    bool may_run_on_unseen_worker(const task_key& key) const;

private:
    // Brings the expected expiry of all leases forward once most workers
    // follow this leader: an earlier leader can no longer extend them.
    void bound_lease_extension(time_point now);
    // Until when leases last on workers for which no bound is stored.
    time_point last_expiry(time_point now,
                           const earlier_leaders& predecessors) const;
    bool has_unknown_runs() const;
    // Stores the ends of the leases on the workers that have not been seen by
    // now.
    void store_bounds(time_point now);
    // When the leases on an unseen worker expire.
    time_point lease_expiry(const worker_id& id) const;
    void note_earlier_leases(fleet_worker& worker) const;
    fleet_record with_bound(const fleet_record& record,
                            time_point expiry) const;
    // Marks only those tasks uncertain that may run on workers that have not
    // been seen.
    void update_uncertain_tasks();
    // True if ends of earlier runs may still follow from the worker, although
    // the leases that earlier leaders granted have expired.
    bool may_report_more_ends(const worker_id& id, time_point now) const;
    // True if the list would show the worker if it still ran.
    bool has_left_list(const worker_id& id) const;
    // True if an earlier leader stored when the leases on the worker end.
    bool has_bound(const fleet_record& record) const;
    // Counts a worker that runs nothing any more as crashed if it has left the
    // list, because its VM may never run another one. If it was only cut off,
    // a run that lasts clears its tasks. A malformed entry shows nothing.
    void on_leases_expired(fleet_record& record, time_point now);
    // By this VM's clock.
    time_point latest_start(const unanswered_start& start) const;
    // True if the start may still take effect on a worker that has restarted,
    // and its task must not run elsewhere.
    bool awaits_start(const fleet_record& record, const unanswered_start& start,
                      time_point now) const;
    // Keeps the record for the tasks of such starts only. False if there are
    // none.
    bool retain_unanswered_starts(fleet_record& record, time_point now);
    // True if nothing can run on the worker any more.
    bool forget_if_expired(fleet_record& record, time_point now);
    // Forgets the unseen workers on which all leases have expired.
    void forget_expired(time_point now);
    void end(time_point now);

    scheduler_state& state_;
    crash_attribution& crashes_;
    std::map<worker_id, fleet_record> unseen_workers_;
    // Those whose entry is malformed, without those in the fleet.
    std::set<worker_id> unseen_with_malformed_entry_;
    // Those that have responded without listing all ends.
    std::set<worker_id> unseen_with_more_ends_;
    // A worker was seen since the uncertain tasks were updated.
    bool unseen_workers_changed_ = true;
    // When the last lease on any of them expires, and on those for which an
    // earlier leader stored an earlier time.
    time_point leases_expire_at_{};
    std::map<worker_id, time_point> expire_earlier_at_;
    time_point begun_at_{};
    std::uint64_t bounds_since_ = 0;
    bool stores_bounds_ = false;
    // Number of workers in the list that an earlier leader stored, without
    // those that are known to have ended.
    std::size_t recovered_workers_ = 0;
    // Those of them that were forgotten without having been seen.
    std::size_t expired_workers_ = 0;
    bool lease_extension_is_bounded_ = false;
    bool has_begun_ = false;
};

} // namespace hemlockdeal::jobs
