// Which workers may take a task at present.
#pragma once

#include "jobs/scheduler_state.hpp"
#include "jobs/search_mode.hpp"

namespace hemlockdeal::jobs
{

class worker_eligibility
{
public:
    explicit worker_eligibility(const scheduler_state& state) : state_(state) {}

    // True if the worker can take any task.
    bool is_available(const fleet_worker& worker, time_point now) const;
    // The same, but for failures and slowness of the worker.
    bool is_open(const fleet_worker& worker, time_point now) const;
    // True if the worker can accept a task of this step at present.
    bool accepts_step(const fleet_worker& worker, const step& s,
                      time_point now) const;
    // True if the task may start there for what is known of its health.
    bool is_available(const fleet_worker& worker, search_mode mode,
                      time_point now) const;
    // True if no suspect is tried on the worker and, if the task is a suspect
    // that has not waited for long, no other run there is starting up.
    static bool keeps_trials_apart(const fleet_worker& worker,
                                   const task_record& task, bool has_waited,
                                   time_point now);
    // The same, unless the mode permits a start beside a suspect.
    static bool may_start_beside_trial(const fleet_worker& worker,
                                       const task_record& task,
                                       search_mode mode, bool has_waited,
                                       time_point now);
    bool has_room(const fleet_worker& worker, const step& s) const;
    // True if the job's constraints and an advice ticket permit the task.
    bool may_run(const fleet_worker& worker, const live_job& owner,
                 const task_key& key, time_point now) const;
    // The same for a task that may be in the ledger of the worker already.
    bool suits(const fleet_worker& worker, const live_job& owner,
               const task_key& key, time_point now) const;
    // Like may_run(), but without the check for an advice ticket.
    bool satisfies_constraints(const fleet_worker& worker,
                               const live_job& owner,
                               const task_key& key) const;

private:
    bool has_ticket(const fleet_worker& worker, const live_job& owner,
                    const task_key& key, time_point now) const;
    // True if the worker is of the kind that the task requires.
    static bool is_of_kind(const fleet_worker& worker, const live_job& owner,
                           const task_key& key);

    const scheduler_state& state_;
};

} // namespace hemlockdeal::jobs
