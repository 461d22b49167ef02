// Decides for how long polls extend leases once the lead is in doubt.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "jobs/poll_planner.hpp"
#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

// What the current state of the leadership permits.
struct leader_permission
{
    bool may_start = true;
    // False while an earlier leader may have used a newer configuration.
    bool may_start_account_tasks = true;
    // False when the leases of running tasks must expire.
    bool may_extend_leases = true;
    // False once another VM may have become leader.
    bool lead_is_valid = true;
    // When the lead ended, if it is not valid and this is known. The process
    // may have been suspended since.
    std::optional<time_point> lead_ended_at{};
};

// A leader whose lead is no longer valid extends leases only while most workers
// that followed it respond, so that the next leader knows when they expire.
class lease_extension
{
public:
    explicit lease_extension(const scheduler_state& state) : state_(state) {}

    // To be called on each decision: the first call without a valid lead
    // determines the followers. Leases are extended for a time that counts from
    // the end of the lead, not from this call.
    poll_permission permission_for(time_point now,
                                   leader_permission permission);
    // Extends nothing from now on, so that the next leader can be told when the
    // leases expire.
    void end() { has_ended_ = true; }

private:
    void record_followers();
    // True if followers have responded lately that are more than half of the
    // workers.
    bool reaches_majority(time_point now) const;

    const scheduler_state& state_;
    bool has_ended_ = false;
    std::optional<time_point> lead_invalid_since_;
    // Number of workers that had not ended at that time, and the processes of
    // those among them that a later leader finds in the store. Only these count
    // as reached: a later leader does not know of others, and a process that
    // starts later may follow two leaders in turn.
    std::size_t workers_at_loss_ = 0;
    std::map<worker_id, worker_incarnation> followers_;
};

} // namespace hemlockdeal::jobs
