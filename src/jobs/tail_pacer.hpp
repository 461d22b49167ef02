// Slows fill tasks down beside serving tasks whose tail latency is near its
// target, and lets them go on when it is calm.
#pragma once

#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

class tail_pacer
{
public:
    explicit tail_pacer(scheduler_state& state) : state_(state) {}

    // After a report of this worker.
    void adjust(fleet_worker& worker, time_point now);

private:
    // Largest ratio of tail to target of the serving tasks.
    static double pressure(const fleet_worker& worker);

    scheduler_state& state_;
};

} // namespace hemlockdeal::jobs
