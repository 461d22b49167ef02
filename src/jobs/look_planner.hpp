// Decides when to look at which worker.
#pragma once

#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

// A look prolongs all leases on the worker, brings its ends and tells it
// which ends are stored. Each is billed, so idle workers are looked at once
// per leader only.
class look_planner
{
public:
    explicit look_planner(scheduler_state& state) : state_(state) {}

    // `may_prolong` is false when this VM must let leases run out.
    void plan(time_point now, bool may_prolong);

private:
    bool is_wanted(const fleet_worker& worker) const;
    void order_look(fleet_worker& worker, time_point now);

    scheduler_state& state_;
};

} // namespace hemlockdeal::jobs
