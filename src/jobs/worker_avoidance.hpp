// Avoids workers on which tasks of several jobs fail, stall or are rejected.
#pragma once

#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

// A run of a task that has ended or stalled on a worker.
struct judged_run
{
    const task_key& task;
    // When its start was ordered; empty if that is not known.
    std::optional<time_point> ordered_at;
};

// A failure is blamed on the worker, unless tasks of the same step fail on most
// of the workers that run them and the worker does not fail all jobs. A worker
// that several jobs blame is avoided for a while; blames are withdrawn as soon
// as a step explains its failures, and end with a run that was ordered after
// them and completes.
class worker_avoidance
{
public:
    explicit worker_avoidance(scheduler_state& state) : state_(state) {}

    // The run has failed or stalled on the worker.
    void on_failure(fleet_worker& worker, live_job& owner,
                    const judged_run& run, time_point now);
    // The run has completed on the worker.
    void on_completion(fleet_worker& worker, live_job& owner,
                       const judged_run& run, time_point now);
    // The worker has rejected a start as malformed: the task waits, and the job
    // prefers other workers.
    void on_malformed_start(fleet_worker& worker, const task_key& key,
                            time_point now);
    // The worker has rejected a start because it is unhealthy.
    static void on_unhealthy_start(fleet_worker& worker, time_point now);
    void on_accepted_start(fleet_worker& worker, const job_id& id);

private:
    // Number of other workers on which tasks of the step have been running
    // for as long as the run was. At most one more than have failed.
    std::size_t healthy_workers(const live_job& owner, const judged_run& run,
                                time_point now) const;
    // Withdraws the blames of a job that explains its failures.
    void exonerate(live_job& owner, const task_key& key, std::size_t healthy,
                   time_point now);
    static void note_failure(fleet_worker& worker, const judged_run& run,
                             time_point now);
    void add_blame(fleet_worker& worker, const judged_run& run, time_point now);
    // Each time longer than the last, up to a limit.
    void avoid(fleet_worker& worker, time_point now);
    void end_avoidance(fleet_worker& worker, time_point now,
                       std::string_view reason);

    scheduler_state& state_;
};

} // namespace hemlockdeal::jobs
