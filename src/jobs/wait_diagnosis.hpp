// Finds out why a task that could run does not.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <utility>

#include "jobs/scheduler_state.hpp"
#include "jobs/wait_reason.hpp"
#include "jobs/worker_eligibility.hpp"

namespace hemlockdeal::jobs
{

// What holds for all waiting tasks at the time of a check.
struct wait_circumstances
{
    time_point now{};
    std::chrono::milliseconds unix_now{};
    bool may_start = true;
    bool lead_is_valid = true;
    // Workers on which an earlier leader may have started tasks.
    std::size_t unseen_workers = 0;
};

struct wait_finding
{
    wait_reason reason = wait_reason::not_examined;
    // The worker that holds the run, if there is one.
    worker_id worker;
    // Number of workers by obstacle, if workers were evaluated.
    std::string obstacles;
};

class wait_diagnosis
{
public:
    explicit wait_diagnosis(const scheduler_state& state)
        : state_(state), eligibility_(state)
    {}

    // Forgets the results of the last check; each check evaluates a bounded
    // number of workers.
    void begin_check();
    wait_finding find(const live_job& owner, const task_key& key,
                      const wait_circumstances& circumstances);

private:
    // The account of the job runs more than its share of the fleet.
    bool is_over_share(const live_job& owner) const;
    wait_finding find_for_placed(const task_key& key, const task_record& task,
                                 time_point now) const;
    // Evaluates workers for the task; the result holds for all tasks of the
    // step that are suspects, or for all that are not.
    const wait_finding& evaluate_workers(const live_job& owner,
                                         const task_key& key,
                                         const task_record& task,
                                         time_point now);
    wait_reason obstacle_on(const fleet_worker& worker, const live_job& owner,
                            const task_key& key, const task_record& task,
                            time_point now) const;
    // What keeps any task off a worker that has room.
    wait_reason obstacle_to_all(const fleet_worker& worker,
                                time_point now) const;

    const scheduler_state& state_;
    worker_eligibility eligibility_;
    // By the step's first task, and whether the finding is for suspects.
    std::map<std::pair<task_key, bool>, wait_finding> findings_;
    std::size_t evaluations_left_ = 0;
    // The worker at which the next search starts.
    worker_id next_worker_;
};

} // namespace hemlockdeal::jobs
