// Decides when to poll which worker.
#pragma once

#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

struct poll_permission
{
    bool may_poll = true;
    // False when this VM must let leases expire.
    bool may_extend_leases = true;
    // Idle workers are polled too, to learn whether they respond.
    bool must_poll_all = false;
};

// A poll extends all leases on the worker, returns its run ends and tells it
// which ends are stored. Each poll is billed, so a leader normally polls an
// idle worker only once.
class poll_planner
{
public:
    explicit poll_planner(scheduler_state& state) : state_(state) {}

    void plan(time_point now, poll_permission permission);

private:
    // True if only a report shows whether an unanswered start was executed at
    // the last moment.
    static bool needs_report(const fleet_worker& worker, time_point now);
    bool is_due(const fleet_worker& worker, time_point now,
                poll_permission permission) const;
    void order_poll(fleet_worker& worker, time_point now,
                    poll_permission permission);

    scheduler_state& state_;
};

} // namespace hemlockdeal::jobs
