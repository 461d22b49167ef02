// Slows fill tasks down beside serving tasks whose tails would pass their
// targets, and lets them go on when it is calm.
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
    // What a fill task at full pace takes of the most pressed serving task's
    // room for slowdown; the sum over the worker must stay below 1.
    double burden(const fleet_worker& worker, const run_record& fill,
                  time_point now) const;
    void set_pace(fleet_worker& worker, const task_key& key, int percent,
                  time_point now);

    scheduler_state& state_;
};

} // namespace hemlockdeal::jobs
