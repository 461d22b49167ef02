// Applies the entries of the membership list to the fleet.
#pragma once

#include "jobs/crash_attribution.hpp"
#include "jobs/scheduler_state.hpp"
#include "jobs/takeover_recovery.hpp"

namespace hemlockdeal::jobs
{

// Why the membership list shows no usable entry of a worker.
enum class entry_loss
{
    removed,
    // The entry is there, but cannot be used.
    malformed
};

// The list alone ends no run: a worker is forgotten only once nothing can run
// on it.
class membership_tracker
{
public:
    membership_tracker(scheduler_state& state, crash_attribution& crashes,
                       takeover_recovery& recovery)
        : state_(state), crashes_(crashes), recovery_(recovery)
    {}

    void set_worker(const worker_entry& entry, time_point now);
    void remove_worker(const worker_id& id, entry_loss reason);
    void forget_gone_workers(time_point now);

private:
    void log_capacity_change(const fleet_worker& worker,
                             const task_size& capacity);
    void offload_leaving_worker(fleet_worker& worker, time_point now);
    bool is_gone(const fleet_worker& worker, time_point now) const;

    scheduler_state& state_;
    crash_attribution& crashes_;
    takeover_recovery& recovery_;
};

} // namespace hemlockdeal::jobs
