// A job that has not finished, with the state of each of its tasks.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "jobs/job.hpp"
#include "jobs/job_progress.hpp"
#include "jobs/occurrence_record.hpp"

namespace hemlockdeal::jobs
{

// Invariants: `waiting` and `done` of each step count its tasks in these
// phases; an occurrence is active, finished or neither; one that is neither has
// no task that was ever ordered.
class live_job
{
public:
    explicit live_job(job definition);

    const job& definition() const { return job_; }
    // Estimated duration of the critical path.
    duration critical_path() const { return critical_path_; }
    // The same for the paths that begin with this step.
    duration critical_path_from(std::uint32_t step) const
    {
        return critical_paths_[step];
    }
    const step& step_of(const task_key& key) const;
    // False also for the tasks of an occurrence that is finished.
    bool has(const task_key& key) const;
    // The job must have the task.
    task_record& task(const task_key& key);
    // The state of the task, without creating a record of it.
    const task_record& peek(const task_key& key) const;

    // Occurrences that are due, or of whose tasks something is known, by
    // number.
    std::map<std::uint32_t, occurrence_record>& active() { return active_; }
    const std::map<std::uint32_t, occurrence_record>& active() const
    {
        return active_;
    }
    // Activates the occurrences that are due. If many are, the next ones follow
    // when tasks of these have been ordered.
    void activate_due(std::chrono::milliseconds unix_now);
    // Unix time; zero for a job without repetition.
    std::chrono::milliseconds due(std::uint32_t occurrence) const
    {
        return job_.repeats.count == 0 ? std::chrono::milliseconds{}
                                       : job_.repeats.first_due +
                                             occurrence * job_.repeats.interval;
    }

    // The step must be part of an active occurrence.
    step_record& step_state(std::uint32_t occurrence, std::uint32_t step)
    {
        return active_.at(occurrence).steps[step];
    }
    const step_record& step_state(std::uint32_t occurrence,
                                  std::uint32_t step) const
    {
        return active_.at(occurrence).steps[step];
    }

    // The step has had no run of one of its tasks since this time.
    void note_lost_run(const task_key& key, time_point lost_at)
    {
        auto& since = step_state(key.occurrence, key.step).waiting_since;
        since = std::min(since.value_or(lost_at), lost_at);
    }
    // Long-running steps that an earlier leader may have kept waiting count as
    // having waited since this time.
    void set_long_running_waiting_since(time_point since);

    // True if the occurrence is due and all preceding steps are done.
    bool is_open(std::uint32_t occurrence, std::uint32_t step,
                 std::chrono::milliseconds unix_now) const;

    void set_placed(const task_key& key, const worker_id& worker,
                    std::uint32_t run);
    void set_waiting(const task_key& key);
    // False if the task was done before.
    bool set_done(const task_key& key);
    // False if this failure was counted before.
    bool add_failure(const task_key& key, std::uint32_t run);
    bool has_failed(const task_key& key) const;
    // A worker has rejected a start as malformed. False if another one also
    // rejects the job, which shows that the fault is not the worker's.
    bool add_rejection(const worker_id& worker);
    // A worker has accepted a start.
    void remove_rejection(const worker_id& worker)
    {
        rejected_by_.erase(worker);
    }
    // True if the worker has rejected a start of the job and accepted none
    // since.
    bool is_rejected_by(const worker_id& worker) const
    {
        return rejected_by_.contains(worker);
    }
    bool is_complete() const
    {
        return done_occurrences_ == job_.repeats_count();
    }

    job_state state() const { return state_; }
    void set_state(job_state state) { state_ = state; }
    bool has_started() const { return has_started_; }

    void restore(const job_progress& progress);
    // Progress of the job for its stored rows.
    job_progress progress() const;
    // The progress is part of change set `number`, which lists the announced
    // tasks as possibly ordered and holds all crashes.
    void set_collected(std::uint64_t number);

    // Adds the tasks that are being tried as suspects, by worker.
    void
    collect_trials(std::map<worker_id, std::vector<task_key>>& trials) const;

    // The next stored row of the job will list the task as possibly ordered.
    void announce(const task_key& key) { task(key).is_announced = true; }
    // Marks the waiting tasks that an earlier leader may have started.
    void mark_ordered_tasks_uncertain();
    // The same for one task, if it is waiting.
    void mark_uncertain(const task_key& key);
    void clear_uncertain_tasks();
    // Sum of the sizes of the tasks that an earlier leader may have started.
    task_size uncertain_size() const;
    // Tasks that are placed, or that an earlier leader may have started.
    std::vector<job_progress::task_position> unfinished_runs() const;

private:
    occurrence_record& activate(std::uint32_t occurrence);
    void finish(std::uint32_t occurrence);
    // Calls `change` for the record of each task that has one.
    template <typename Change>
    void for_each_record(const Change& change);
    task_record& set_phase(const task_key& key, task_phase phase);

    job job_;
    std::vector<duration> critical_paths_;
    duration critical_path_;
    job_state state_ = job_state::queued;
    bool has_started_ = false;
    std::set<worker_id> rejected_by_;
    std::uint32_t done_occurrences_ = 0;
    // True if the recovered row lists the tasks that may have been ordered. A
    // job without a row has no such tasks.
    bool lists_ordered_tasks_ = true;
    // Tasks without a record may run elsewhere, too.
    bool are_all_uncertain_ = false;
    std::map<std::uint32_t, occurrence_record> active_;
    // By number of the occurrence.
    std::vector<bool> is_finished_;
    // The occurrences before it have been activated.
    std::uint32_t next_occurrence_ = 0;
    // Given to long-running steps of the occurrences that are due at first.
    std::optional<time_point> waiting_since_at_first_;
};

} // namespace hemlockdeal::jobs
