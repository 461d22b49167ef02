// State shared by the parts of the scheduler.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobs/fleet_record.hpp"
#include "jobs/fleet_worker.hpp"
#include "jobs/interference_model.hpp"
#include "jobs/job_registry.hpp"
#include "jobs/order.hpp"
#include "jobs/queue_directory.hpp"
#include "jobs/quota/account_ledger.hpp"
#include "jobs/quota/account_limits.hpp"
#include "jobs/scheduler_options.hpp"
#include "jobs/store_clock.hpp"

namespace hemlockdeal::jobs
{

// A log event: a decision or an observation, with the values behind it.
struct decision_event
{
    std::string message;
    std::vector<std::pair<std::string_view, std::string>> fields;
};

// A start of a client account's task that was withdrawn. A worker may still
// execute it late.
struct withdrawn_start
{
    account_id account;
    task_size size;
    time_point may_run_until{};
};

// Copies to the run what its task is suspected of.
void set_evidence(run_record& run, const task_record& task);

struct scheduler_state
{
    scheduler_options options;
    std::uint64_t epoch = 0;
    store_clock clock;
    job_registry registry;
    std::map<service_id, service_policy> services;
    std::set<availability_zone_id> closed_zones;
    account_limits limits;
    // What client accounts have running. The workers' ledgers keep it up to
    // date, so that it must outlive them.
    account_ledger account_usage;
    std::map<worker_id, fleet_worker> fleet;
    // Of the workers in the membership list, as of the last check of the fleet.
    task_size fleet_capacity;
    // Workers may hold starts that were given up.
    bool may_have_given_up_starts = false;
    std::vector<withdrawn_start> withdrawn_starts;
    // False while an earlier leader may have used a newer configuration, whose
    // caps may be lower.
    bool may_start_account_tasks = true;
    interference_model interference;
    advice_cache advice;
    // Numbers of the most recently taken and the most recently stored change
    // set.
    std::uint64_t taken_set = recovered_set;
    std::uint64_t stored_set = recovered_set;
    // A worker follows a later leader.
    bool is_superseded = false;
    // Restarts of workers under their ids that this leader has noticed. They
    // are counted for all workers together, so that the token of a worker that
    // is forgotten and joins again does not fall.
    std::uint32_t restarts = 0;
    // Tasks whose unanswered start orders are to be repeated, with their
    // workers.
    std::set<std::pair<worker_id, task_key>> starts_to_repeat;

    // Parts of the stored fleet list that are out of date.
    std::set<std::uint32_t> changed_fleet_parts;

    std::vector<order> orders;
    std::vector<decision_event> events;

    void mark_fleet_changed(const worker_id& id)
    {
        changed_fleet_parts.insert(fleet_part_of(id));
    }
    fleet_worker* find_worker(const worker_id& id);
    // Finishes the job in the registry.
    void finish_job(const job_id& id, job_state state, time_point now);
    // Counts the start that the worker may still execute although its ledger
    // no longer contains the run against the account of the run.
    void note_start_in_doubt(const fleet_worker& worker, const task_key& key,
                             const run_record& run, time_point now);
    // Counts a withdrawn start against its account until the time.
    void note_withdrawn_start(const account_id& account, const task_size& size,
                              time_point may_run_until);
    // Number of the task's next run. Each leader has its own block of numbers,
    // so that unrecorded runs of an earlier leader have lower ones.
    std::uint32_t next_run(const task_record& task) const;

    void
    log_event(std::string message,
              std::vector<std::pair<std::string_view, std::string>> fields);

    // Raises the fencing token of the worker, whose restart the source shows.
    void note_restart(fleet_worker& worker, time_point now,
                      std::string_view source);
    // Stops a run that the worker has started by the clock of its former
    // process, if its lease may be longer than a later leader expects.
    void stop_run_with_longer_lease(fleet_worker& worker, const task_key& key,
                                    time_point now);
    // The worker has executed an order that names `restarts`.
    void note_executed_order(fleet_worker& worker, std::uint32_t restarts,
                             time_point now) const;

    // Orders the start of the run, which the ledger of the worker contains.
    void order_start(const live_job& owner, const task_key& key,
                     fleet_worker& worker, run_record& run, time_point now);
    // Removes a placed task from its worker and returns it to the waiting
    // tasks.
    void requeue(const task_key& key, std::string_view reason);
    // Orders a run to stop, unless that was ordered within `stop_retry`.
    void order_stop(fleet_worker& worker, const task_key& key, time_point now,
                    std::string_view reason);
    // Ends the job as failed because of this task.
    void fail_job(live_job& owner, const task_key& key, time_point now);
    // Orders all runs of a job to stop.
    void stop_job(const live_job& ended, time_point now,
                  std::string_view reason);
};

} // namespace hemlockdeal::jobs
