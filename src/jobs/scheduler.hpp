// The decisions of the leading VM. Reads no clock and does no input or
// output: the caller passes time and answers in and carries the orders out.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobs/fleet_record.hpp"
#include "jobs/poll_planner.hpp"
#include "jobs/report_intake.hpp"
#include "jobs/scheduler_state.hpp"
#include "jobs/speed_monitor.hpp"
#include "jobs/tail_pacer.hpp"
#include "jobs/task_placer.hpp"

namespace hemlockdeal::jobs
{

// What the store has to learn, in one transaction.
struct change_set
{
    // Progress by job.
    std::vector<std::pair<job_id, std::string>> jobs;
    // The changed parts of the list of workers that may run tasks.
    std::vector<fleet_part> fleet;
    // More changes are left for the next set.
    bool is_partial = false;

    bool empty() const { return jobs.empty() && fleet.empty(); }
};

// What the state of the lead permits.
struct leader_permission
{
    bool may_start = true;
    // False when the leases of running tasks must run out.
    bool may_extend_leases = true;
    // False once another VM may have taken the lead.
    bool lead_is_valid = true;
};

class scheduler
{
public:
    scheduler(scheduler_options options, std::uint64_t epoch);

    // Recovery, in this order, before anything else.
    void recover_job(job definition, const std::optional<job_progress>& known);
    void recover_fleet(const std::vector<fleet_record>& may_run_tasks);
    // What an earlier leader learnt about interference.
    void recover_interference(std::string_view learnt);
    // From now on decisions are made. Tasks of recovered jobs wait until
    // every worker that may run them has been seen, or their leases have
    // ended; leases that an earlier leader which is still alive may prolong
    // end later.
    void begin(time_point now, bool earlier_leader_is_dead = false);

    void set_services(std::map<service_id, service_policy> services);
    void set_closed_zones(std::set<availability_zone_id> zones);
    void set_worker(const worker_entry& entry, time_point now);
    void remove_worker(const worker_id& id, time_point now);

    // Does nothing for a job that is known.
    void add_job(job definition);
    void cancel_job(const job_id& id, time_point now);

    void on_report(const worker_id& id, const worker_report& report,
                   time_point sent_at, time_point now);
    void on_poll_failed(const worker_id& id, time_point now);
    void on_start_answer(const worker_id& id, const task_key& key,
                         std::uint32_t run, start_answer answer,
                         time_point now);
    void on_stop_confirmed(const worker_id& id, const task_key& key,
                           std::uint32_t run, time_point now);
    void on_advice(const advice_request& asked, const advice_answer& answer,
                   time_point now)
    {
        state_.advice.on_answer(asked, answer, now);
    }
    void on_advice_failed(const advice_request& asked, time_point now)
    {
        state_.advice.on_failure(asked, now);
    }
    // A worker answered that it follows a later leader.
    void on_superseded() { state_.is_superseded = true; }
    bool is_superseded() const { return state_.is_superseded; }

    std::vector<order> decide(time_point now,
                              std::chrono::milliseconds unix_now,
                              leader_permission permission);

    bool has_changes() const;
    // Tasks that have a place wait until changes are stored.
    bool has_starts_waiting() const { return placer_.has_reservations(); }
    change_set take_changes();
    // The set that was taken last is in the store.
    void on_changes_stored(time_point now);

    std::vector<decision_event> take_events();

    // What was learnt, for the next leader.
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
    // Nothing that an earlier leader started is in doubt any more.
    bool is_recovery_complete() const
    {
        return begun_ && leases_ended_at_ == time_point{};
    }

private:
    void check_accounts(time_point now);
    void settle_account(fleet_worker& worker);
    void end_accounts();
    // Expects the end of all leases earlier once most workers follow this
    // leader.
    void bound_lease_extension(time_point now);
    // Of the slowest clock.
    duration max_lease() const;
    poll_permission poll_permission_for(time_point now,
                                        leader_permission permission);
    bool reaches_most_workers(time_point now) const;
    // Leaves in doubt what may run on workers that have not been seen.
    void update_doubts();
    bool has_open_accounts() const;
    void note_closed_workers();
    void note_fleet_change(const worker_id& id)
    {
        changed_parts_.insert(fleet_part_of(id));
    }
    std::vector<fleet_part> record_fleet();
    fleet_record record_of(const worker_id& id, fleet_worker& worker);
    void offload_leaving_worker(fleet_worker& worker, time_point now);
    void forget_gone_workers();
    // A line every few seconds that shows where tasks wait.
    void log_load(time_point now);

    scheduler_state state_;
    report_intake intake_;
    task_placer placer_;
    poll_planner polls_;
    tail_pacer pacer_;
    speed_monitor speeds_;
    // Workers on which an earlier leader may have started tasks, and that
    // have not been seen, with what may run there, if it is known.
    std::map<worker_id, std::optional<std::vector<task_key>>> unaccounted_;
    // An account was closed since doubts were updated.
    bool accounts_changed_ = true;
    time_point leases_ended_at_{};
    time_point begun_at_{};
    // Workers in the list that an earlier leader left.
    std::size_t recovered_workers_ = 0;
    bool lease_extension_is_bounded_ = false;
    std::optional<time_point> in_doubt_since_;
    // Parts of the stored list that differ from what is known.
    std::set<std::uint32_t> changed_parts_;
    time_point load_logged_at_{};
    time_point fleet_checked_at_{};
    // Named in the list that is on its way to the store.
    std::vector<worker_id> being_recorded_;
    bool begun_ = false;
};

} // namespace hemlockdeal::jobs
