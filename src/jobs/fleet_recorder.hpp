// The stored list of workers, from which the next leader learns where tasks may
// run.
#pragma once

#include <optional>
#include <vector>

#include "jobs/fleet_record.hpp"
#include "jobs/scheduler_state.hpp"
#include "jobs/takeover_recovery.hpp"

namespace hemlockdeal::jobs
{

class fleet_recorder
{
public:
    fleet_recorder(scheduler_state& state, const takeover_recovery& recovery)
        : state_(state), recovery_(recovery)
    {}

    // Marks the parts of the list in which a worker is recorded otherwise than
    // it is.
    void mark_outdated_parts(time_point now);
    // Records from now on when the leases on workers that do not respond
    // expire. No lease may be extended any more.
    void hand_over(time_point now);
    // Returns the parts to be stored.
    std::vector<fleet_part> take_changed_parts();
    // The most recently taken parts have been stored.
    void on_stored();

private:
    fleet_record record_of(const worker_id& id, fleet_worker& worker);
    // True if the worker has been silent for so long that later leaders should
    // know when its leases end.
    bool needs_bound(const fleet_worker& worker) const;
    // Adds what the next leader has to wait for, if the clock of the worker is
    // known.
    void bound_leases(fleet_record& record, const fleet_worker& worker) const;
    std::vector<unanswered_start>
    unanswered_on(const fleet_worker& worker) const;
    // Keeps track of the workers whose leases must not be extended.
    void note_bound(const fleet_record& record);

    scheduler_state& state_;
    const takeover_recovery& recovery_;
    time_point now_{};
    bool is_handed_over_ = false;
    // Workers named in the list that is being stored.
    std::vector<worker_id> workers_being_recorded_;
    // Those for which that list names no end of their leases.
    std::vector<worker_id> workers_without_bound_;
};

} // namespace hemlockdeal::jobs
