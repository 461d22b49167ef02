// Decides when to look at which worker.
#pragma once

#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

struct look_permission
{
    bool may_look = true;
    // False when this VM must let leases run out.
    bool may_prolong = true;
    // Idle workers are looked at as well, to learn whether they answer.
    bool must_see_all = false;
};

// A look prolongs all leases on the worker, brings its ends and tells it
// which ends are stored. Each is billed, so idle workers are looked at once
// per leader only.
class look_planner
{
public:
    explicit look_planner(scheduler_state& state) : state_(state) {}

    void plan(time_point now, look_permission permission);

private:
    bool is_wanted(const fleet_worker& worker, time_point now,
                   look_permission permission) const;
    void order_look(fleet_worker& worker, time_point now,
                    look_permission permission);

    scheduler_state& state_;
};

} // namespace hemlockdeal::jobs
