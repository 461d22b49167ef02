// Avoids workers on which tasks of several jobs fail, stall or are rejected.
#pragma once

#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

// A fault that only one job shows is taken for the job's own.
class worker_avoidance
{
public:
    explicit worker_avoidance(scheduler_state& state) : state_(state) {}

    // A task of the job has failed or stalled on the worker.
    void on_failure(fleet_worker& worker, const job_id& id, time_point now);
    // The worker has rejected a start as malformed: the task waits, and the job
    // prefers other workers.
    void on_malformed_start(fleet_worker& worker, const task_key& key,
                            time_point now);
    // The worker has rejected a start because it is unhealthy.
    static void on_unhealthy_start(fleet_worker& worker, time_point now);
    void on_accepted_start(fleet_worker& worker, const job_id& id);

private:
    // Each time longer than the last, up to a limit.
    void avoid(fleet_worker& worker, time_point now);

    scheduler_state& state_;
};

} // namespace hemlockdeal::jobs
