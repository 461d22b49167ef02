// Scheduling decisions of the leading VM. Reads no clock and performs no I/O:
// the caller passes in the time and the responses and executes the orders.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobs/crash_attribution.hpp"
#include "jobs/fill_suspender.hpp"
#include "jobs/fleet_record.hpp"
#include "jobs/fleet_recorder.hpp"
#include "jobs/lease_extension.hpp"
#include "jobs/long_wait_log.hpp"
#include "jobs/membership_tracker.hpp"
#include "jobs/order_response_handler.hpp"
#include "jobs/poll_planner.hpp"
#include "jobs/quota/account_report.hpp"
#include "jobs/quota/in_doubt_runs.hpp"
#include "jobs/report_intake.hpp"
#include "jobs/scheduler_state.hpp"
#include "jobs/speed_monitor.hpp"
#include "jobs/start_binding.hpp"
#include "jobs/start_repeater.hpp"
#include "jobs/takeover_recovery.hpp"
#include "jobs/task_placer.hpp"
#include "jobs/worker_end_handler.hpp"

namespace hemlockdeal::jobs
{

// Changes to be written to the store in one transaction.
struct change_set
{
    // Encoded progress by job.
    std::vector<std::pair<job_id, std::string>> jobs;
    // Changed rows with the histories of tasks of large jobs.
    std::vector<history_row> histories;
    // Changed parts of the list of workers that may run tasks.
    std::vector<fleet_part> fleet;
    // More changes remain for the next set.
    bool is_partial = false;

    bool empty() const
    {
        return jobs.empty() && histories.empty() && fleet.empty();
    }
};

class scheduler
{
public:
    scheduler(scheduler_options options, std::uint64_t epoch);

    // Recovery functions; call them in this order before any other.
    void recover_job(job definition,
                     const std::optional<job_progress>& stored_progress);
    void recover_fleet(const std::vector<fleet_record>& may_run_tasks);
    // Restores the interference model that an earlier leader stored.
    void recover_interference(std::string_view encoded_model);
    // Enables decisions. Tasks of recovered jobs wait until every worker that
    // may run them has been seen or their leases have expired. Leases expire
    // later if the last leader may still be alive and extend them.
    void begin(time_point now, const earlier_leaders& predecessors = {});
    // Ends the extension of leases for good, and adds to the changes when the
    // leases on workers that do not respond expire. Returns when all others
    // have expired; empty if the store's clock is not known.
    std::optional<store_time> hand_over(time_point now);
    void set_store_clock(const store_clock& clock) { state_.clock = clock; }

    void set_services(std::map<service_id, service_policy> services);
    void set_closed_zones(std::set<availability_zone_id> zones);
    void set_account_limits(account_limits limits)
    {
        state_.limits = std::move(limits);
    }
    void set_worker(const worker_entry& entry, time_point now);
    // Starts nothing on the worker until set_worker() is called for it. Its
    // runs go on: the list alone ends nothing.
    void remove_worker(const worker_id& id, time_point now,
                       entry_loss reason = entry_loss::removed);

    // Does nothing if the job is already known.
    void add_job(job definition);
    void cancel_job(const job_id& id, time_point now);
    // Ends a job whose progress cannot be stored as failed. False if it is not
    // in progress.
    bool give_up_job(const job_id& id, time_point now);

    void on_report(const worker_id& id, const worker_report& report,
                   time_point sent_at, time_point now);
    void on_poll_failed(const worker_id& id, time_point now);
    void on_start_answer(const worker_id& id, const task_key& key,
                         std::uint32_t run, const start_response& response,
                         time_point now);
    void on_stop_confirmed(const worker_id& id, const task_key& key,
                           std::uint32_t run, time_point now);
    void on_advice(const advice_request& request, const advice_answer& response,
                   time_point now)
    {
        state_.advice.on_answer(request, response, now);
    }
    void on_advice_failed(const advice_request& request, time_point now)
    {
        state_.advice.on_failure(request, now);
    }
    // The worker refused a poll because it has seen a higher fencing token.
    void on_poll_refused(const worker_id& id, time_point now);
    bool is_superseded() const { return state_.is_superseded; }

    std::vector<order> decide(time_point now,
                              std::chrono::milliseconds unix_now,
                              leader_permission permission);

    bool has_changes() const;
    // True if reserved tasks wait for changes to be stored.
    bool has_starts_waiting() const { return placer_.has_reservations(); }
    change_set take_changes();
    // The most recently taken set has been stored.
    void on_changes_stored(time_point now);

    std::vector<decision_event> take_events();

    // The interference model, encoded for the next leader.
    std::string
    encode_interference(std::size_t max_bytes = default_row_limit) const
    {
        return state_.interference.encode(max_bytes);
    }

    const job_registry& registry() const { return state_.registry; }
    void forget_job(const job_id& id) { state_.registry.forget(id); }
    const std::map<worker_id, fleet_worker>& fleet() const
    {
        return state_.fleet;
    }
    std::size_t tasks_without_room() const
    {
        return placer_.tasks_without_room();
    }
    // Figures by client account; empty without accounts.
    std::vector<account_report> accounts(time_point now) const
    {
        return account_reports(state_, now);
    }
    std::size_t worker_crashes() const { return crashes_.crashes(); }
    // True if no run of an earlier leader is uncertain any more.
    bool is_recovery_complete() const { return recovery_.is_complete(); }

private:
    // Concludes from the first response of `later` that the workers that ran
    // on its VM when the poll was sent have ended.
    void end_earlier_workers(fleet_worker& later, time_point sent_at,
                             time_point now);
    // The orders of a decision, with the restarts of their workers.
    std::vector<order> take_orders();
    // Logs a summary of the load every few seconds.
    void log_load(time_point now);

    scheduler_state state_;
    crash_attribution crashes_;
    takeover_recovery recovery_;
    in_doubt_runs in_doubt_;
    membership_tracker membership_;
    worker_end_handler worker_ends_;
    report_intake intake_;
    order_response_handler order_responses_;
    start_repeater repeater_;
    start_binding bindings_;
    fleet_recorder recorder_;
    task_placer placer_;
    lease_extension lease_extension_;
    poll_planner polls_;
    fill_suspender suspender_;
    speed_monitor speeds_;
    long_wait_log long_waits_;
    time_point load_logged_at_{};
    time_point fleet_checked_at_{};
};

} // namespace hemlockdeal::jobs
