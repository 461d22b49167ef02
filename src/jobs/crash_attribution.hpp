// Attributes the crash of a worker to the tasks that may have caused it, and
// gives up the jobs of tasks that crash one worker after another.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jobs/fleet_record.hpp"
#include "jobs/scheduler_state.hpp"
#include "jobs/silence_history.hpp"

namespace hemlockdeal::jobs
{

// Of the runs on a crashed worker those are suspects that were starting up, and
// those of tasks that had crashed workers before. A suspect is tried alone:
// nothing else is started on its worker until it has outlived the earlier
// crashes, so that its next crash has no other suspect.
class crash_attribution
{
public:
    explicit crash_attribution(scheduler_state& state) : state_(state) {}

    // Notes the runs of a worker that has stopped responding. Whether it has
    // crashed is known later, if at all.
    void on_silence(fleet_worker& worker, time_point now);
    // The same worker process responds again: it has not crashed.
    void on_response(fleet_worker& worker);
    // The tasks of a worker that may have crashed are started elsewhere.
    void on_requeue(const fleet_worker& worker, time_point now) const;
    // A worker that responded until now has ended unnoticed.
    void on_unnoticed_end(fleet_worker& worker, time_point now);
    // The first report of a later process of the worker: the runs that it lists
    // were not on the process that has ended.
    void on_restart(fleet_worker& worker, const worker_report& first_report,
                    time_point now);
    // The worker process has ended. `life` identifies it.
    void on_end(fleet_worker& worker, const worker_id& life, time_point now);
    // Takes over the suspects on a worker that has not been seen yet, and adds
    // those that were being tried there. All jobs must have been recovered.
    void recover(fleet_record& record);
    // The worker of the record has ended.
    void on_recorded_end(const fleet_record& record, time_point now);

    // A report of the worker contains the run.
    void on_run_reported(fleet_worker& worker, const task_key& key,
                         run_record& run, time_point now);
    // Number of workers that ended without notice.
    std::size_t crashes() const { return crashes_; }

private:
    struct crash_circumstances
    {
        bool is_only_suspect = false;
        // Nothing else is known that could have crashed the worker.
        bool is_reliable = false;
        // A mass failure in which the job has no large part.
        bool is_explained_otherwise = false;
    };

    // `alive_at` is the last time at which the worker certainly was up.
    void note_runs(fleet_worker& worker, time_point alive_at, time_point now);
    void count_crash(const worker_id& life, const interrupted_run& run,
                     const crash_circumstances& circumstances, time_point now);
    static bool is_convicted(const crash_history& crashes,
                             const crash_circumstances& circumstances);
    void clear_suspicion(const worker_id& worker,
                         const std::vector<interrupted_run>& runs) const;
    void forget_evidence(const task_key& key);
    task_record* find_task(const task_key& key) const;

    scheduler_state& state_;
    silence_history silences_{state_};
    // Tasks that an earlier leader was trying, by worker.
    std::optional<std::map<worker_id, std::vector<task_key>>> recovered_trials_;
    // Latest crash of a worker without suspects: workers crash for another
    // cause at present.
    std::optional<time_point> unexplained_crash_at_;
    std::size_t crashes_ = 0;
};

} // namespace hemlockdeal::jobs
