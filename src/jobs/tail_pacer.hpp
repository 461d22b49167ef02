// Slows fill tasks down on workers where serving tasks would exceed their tail
// latency targets, and restores their pace when there is headroom again.
#pragma once

#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

class tail_pacer
{
public:
    explicit tail_pacer(scheduler_state& state) : state_(state) {}

    // Adjusts the pace of the fill tasks after a report of this worker.
    void adjust(fleet_worker& worker, time_point now);

private:
    // Share of the slowdown headroom of the most affected serving task that a
    // fill task uses at full pace. The sum over the worker must stay below 1.
    double headroom_use(const fleet_worker& worker, const run_record& fill,
                        time_point now) const;
    void set_pace(fleet_worker& worker, const task_key& key, int percent,
                  time_point now);

    scheduler_state& state_;
};

} // namespace hemlockdeal::jobs
