// Decides when to look at which worker.
#pragma once

#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

struct poll_permission
{
    bool may_poll = true;
    // False when this VM must let leases run out.
    bool may_extend_leases = true;
    // Idle workers are looked at as well, to learn whether they answer.
    bool must_see_all = false;
};

// A look prolongs all leases on the worker, brings its ends and tells it
// which ends are stored. Each is billed, so idle workers are looked at once
// per leader only.
class poll_planner
{
public:
    explicit poll_planner(scheduler_state& state) : state_(state) {}

    void plan(time_point now, poll_permission permission);

private:
    bool is_wanted(const fleet_worker& worker, time_point now,
                   poll_permission permission) const;
    void order_poll(fleet_worker& worker, time_point now,
                    poll_permission permission);

    scheduler_state& state_;
};

} // namespace hemlockdeal::jobs
