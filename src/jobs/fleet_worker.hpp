// The leader's view of one worker: its capacity, its clock, and every run that
// may exist on it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jobs/quota/account_ledger.hpp"
#include "jobs/scheduler_options.hpp"
#include "jobs/unanswered_starts.hpp"
#include "jobs/worker_report.hpp"

namespace hemlockdeal::jobs
{

// Identifies an image by the hash of its name, because images are compared
// often.
enum class image_hash : std::uint64_t
{
};

image_hash to_image_hash(const std::string& name);

// Combined effect of the fill tasks of a worker on the serving tasks there that
// have the same job and image.
struct serving_pressure
{
    image_hash image{};
    std::size_t tasks = 0;
    // Sum of pressure times processor millis over the worker's fill tasks.
    double weight = 0.0;
    // Slowdown beyond 1 that the tasks tolerate at their likely peak load.
    double headroom = 0.0;
};

// A run that was on a worker when the worker stopped responding.
struct interrupted_run
{
    task_key task;
    duration ran_for{};
    // The run may have been starting up.
    bool in_start_up = false;
    // The run may have crashed the worker.
    bool is_suspect = false;
    // The worker confirmed the run. Otherwise it may have ended before the
    // start order arrived.
    bool is_confirmed = true;
    std::uint32_t run = 0;
};

// A run that is, or may be, on a worker. It counts against the worker's
// capacity until it has certainly ended.
struct run_record
{
    std::uint32_t run = 0;
    task_size size;
    // Owner of the job; empty if it has none.
    account_id account;
    // The run of a job that is not known.
    bool has_unknown_size = false;
    bool fills = false;
    bool is_long_running = false;
    bool saves_progress = false;
    image_hash image{};
    duration estimate{};
    duration tail_target{};

    time_point ordered_at{};
    // When the worker confirmed the run, in a response or a report.
    std::optional<time_point> confirmed_at;
    // The last start order got no response.
    bool is_unresolved = false;
    // Start orders for this run.
    unsigned orders = 1;
    worker_clock start_deadline{};
    // Number of restarts of the worker that the order named.
    std::uint32_t restarts = 0;
    // The clock of the worker process for which the order was meant had reached
    // this when it was sent.
    worker_clock least_clock{};
    std::optional<time_point> stop_ordered_at;
    std::optional<time_point> stop_confirmed_at;
    // Time of the last report that contained the run.
    time_point last_reported_at{};
    // Number of consecutive reports that should have contained the run and did
    // not.
    unsigned missing = 0;

    int percent = 0;
    time_point progressed_at{};
    std::int64_t measurement = -1;
    // For a serving task: since when its tail latency may have been above its
    // target, and when it was last reported above and not above it. Reported
    // tails scatter, so that a single one below the target does not end the
    // time above it.
    std::optional<time_point> over_since;
    time_point over_at{};
    time_point below_at{};
    int pace = 100;
    // Found on the worker by a new leader, which knows neither the pace nor
    // since when a serving task has been above its target.
    bool is_adopted = false;
    // An earlier leader started the run, so that it is older than `ordered_at`
    // says.
    bool has_unknown_age = false;
    // Since when the pace has been below the threshold for a slowed run.
    std::optional<time_point> slowed_since;
    // When the run was started or its pace last changed.
    time_point changed_at{};
    std::string checkpoint;
    // The checkpoint from which the run resumed.
    std::string checkpoint_at_start;
    // The task is suspected of crashing workers, until it is cleared.
    bool is_suspect = false;
    // The suspect is tried alone: other tasks are kept off its worker.
    bool is_trial = false;
    // Set while there is evidence against the task: a run that lasts longer
    // clears it.
    std::optional<duration> clearance_time;

    bool is_serving() const { return tail_target > duration{}; }
};

// A start without a response whose task may have been started elsewhere.
struct given_up_start
{
    task_key task;
    std::uint32_t run = 0;
    time_point ordered_at{};
    // When the worker was last told to refuse it.
    std::optional<time_point> stop_ordered_at;
    // For the cap of the account; empty if the job has none.
    account_id account{};
    task_size size{};
};

// When no run of the start can be active any more: it is executed late, and its
// worker grants the longest lease.
time_point latest_end(const given_up_start& start,
                      const scheduler_options& options);

class fleet_worker;

// The worker has, or had, the run. If only one order for it was sent, this one
// was executed and cannot be executed again.
void note_found(fleet_worker& worker, const task_key& key,
                const run_record& run);

// Returns the record of a run of this step that is ordered at `now`.
run_record make_run(const step& s, std::uint32_t run, time_point now);
// The same for a step of this job, whose account the run counts against.
run_record make_run(const job& owner, const step& s, std::uint32_t run,
                    time_point now);

// True if the last reported tail latency is above the target.
bool is_over_target(const run_record& run);

// A job of which a task has failed or stalled on a worker.
struct failed_job
{
    job_id job;
    time_point failed_at{};
    // When the last run that failed was ordered.
    time_point ordered_at{};
    // The worker is blamed, because the job does not explain its failures.
    bool blames_worker = false;
};

// Failures and slowness that are attributed to the worker rather than to its
// tasks.
struct worker_health
{
    // Jobs whose tasks have failed or stalled here since the worker has proved
    // healthy; the oldest first.
    std::vector<failed_job> failed_jobs;
    // Consecutive starts of different jobs that were rejected as malformed.
    unsigned rejections = 0;
    job_id last_rejected_job;
    // Until then no task is started here, because the worker has rejected
    // starts.
    time_point rejecting_until{};
    // Until then tasks prefer other workers, because of the blames.
    time_point avoided_until{};
    // When that was last decided.
    std::optional<time_point> avoided_since;
    // Duration of the last avoidance; zero if the worker has proved healthy
    // since.
    duration avoidance{};
    // When the run was ordered whose failure was blamed on the worker last.
    time_point blamed_run_ordered_at{};
    // Smoothed ratio of the duration of runs here to that of their siblings on
    // other workers.
    double slowness = 1.0;
    time_point slowness_seen_at{};

    // Decays towards 1 without new observations, so that the worker is tried
    // again.
    double slowness_at(time_point now) const;
    bool is_slow(time_point now) const;
    // True while tasks prefer other workers.
    bool is_distrusted(time_point now) const
    {
        return avoided_until > now || is_slow(now);
    }
    bool is_rejecting(time_point now) const { return rejecting_until > now; }
};

class fleet_worker
{
public:
    // Each change of the runs is passed on to the account ledger, if there is
    // one.
    explicit fleet_worker(worker_entry entry,
                          account_ledger* account_usage = nullptr);

    worker_entry entry;
    // When this leader learnt of the worker.
    time_point joined_at{};
    // When the membership list last showed an entry of the worker.
    time_point listed_at{};
    // The worker is no longer in the membership list.
    bool is_unlisted = false;
    // Its entry is there, but cannot be used, which shows nothing of the
    // worker.
    bool has_malformed_entry = false;
    // A later worker process on the same VM has responded, which shows that
    // this one has ended.
    bool has_ended = false;
    // The stored list of workers that may run tasks contains this worker.
    bool is_recorded = false;
    // A write of the list that contains this worker is in progress.
    bool is_being_recorded = false;
    // The last record of this worker for the store names the end of its leases.
    bool is_bounded_in_record = false;
    // A stored record may do so. No lease may be extended then.
    bool may_have_stored_bound = false;
    worker_health health;
    // When a serving task on this worker was last seen above its target.
    time_point over_target_at{};
    // Until then no task is placed here: the worker refused one for lack of
    // room although the ledger showed enough.
    time_point full_until{};

    // Highest number of a run end that was processed.
    std::uint64_t taken_ends = 0;
    // Highest number of a run end that was sent to the store.
    std::uint64_t sent_to_store = 0;
    // Highest number of a run end that is stored.
    std::uint64_t stored_ends = 0;
    // Highest number of a run end whose storage the worker has been told of,
    // and the number in the poll in progress.
    std::uint64_t acknowledged_ends = 0;
    std::uint64_t acknowledging = 0;

    // Rows of the last report that could not be decoded. While a run is among
    // them, no task is started on this worker, because the room that the run
    // takes is not known.
    std::size_t unreadable_runs = 0;
    std::size_t unreadable_ends = 0;
    // The last report may have left out ends.
    bool has_more_ends = false;

    // Start orders that the worker, or a later process of it, may still
    // execute.
    unanswered_starts unanswered;
    // Ends that the worker must not forget yet: by number, until when a late
    // start of the task may be executed. A later process would run the task
    // again after its end was acknowledged.
    std::map<std::uint64_t, time_point> held_ends;
    // Starts without a response that were abandoned after all leases had ended.
    // A worker that has restarted in the meantime knows neither the deadline
    // nor the stop, so it is told to refuse them as soon as it responds, and
    // until it confirms that or none can take effect any more.
    std::vector<given_up_start> given_up;
    // The membership list shows another incarnation than the one that responded
    // last.
    bool has_restarted = false;

    // When the latest response arrived.
    time_point responded_at{};
    // Since when the worker has not responded to polls.
    std::optional<time_point> silent_since;
    // The runs at that time, until it is known whether the worker has crashed.
    std::vector<interrupted_run> interrupted_runs;
    // When an earlier worker process on the VM was found to have crashed.
    std::optional<time_point> vm_crashed_at;

    std::optional<time_point> poll_sent_at;
    // Number of restarts of the worker that the poll in progress names.
    std::uint32_t poll_restarts = 0;
    // How long the poll in progress may wait for a run to end.
    duration poll_wait{};
    time_point next_poll{};
    // Time at which the latest answered poll was sent.
    std::optional<time_point> contact_at;
    unsigned failed_polls = 0;

    // The runs of this worker are listed in the store.
    bool is_closed_in_store = false;

    bool has_been_seen() const { return contact_at.has_value(); }
    // No task is started on this worker at present, and the ledger holds every
    // run on it.
    bool is_closed() const
    {
        return has_been_seen() && (failed_polls > 0 || is_unlisted ||
                                   has_ended || entry.is_leaving);
    }
    // True if the worker responds to polls.
    bool is_reachable(time_point now, duration limit) const;
    bool has_unstored_ends() const { return taken_ends > stored_ends; }
    // Highest number of a run end that may be acknowledged.
    std::uint64_t acknowledgeable_ends(time_point now);

    // The runs that are, or may be, on the worker.
    const std::map<task_key, run_record>& runs() const { return runs_; }
    run_record* find_run(const task_key& key);
    run_record& add_run(const task_key& key, const run_record& run);
    void erase_run(const task_key& key);
    std::size_t runs_of_step(const task_key& key) const;

    // Reserved resources. Fill tasks reserve memory and accelerators, but no
    // processors.
    const task_size& room_used() const { return used_; }
    bool has_runs_of_unknown_size() const
    {
        return unknown_size_count_ > 0 || unreadable_runs > 0;
    }
    // Processor millis that the fill tasks demand at their present pace.
    std::int64_t fill_demand() const { return fill_demand_; }
    void set_pace(run_record& run, int percent, time_point now);
    // Processor millis that remain for fill tasks if serving tasks use this
    // share of their reservation.
    double expected_unused_processors(double serving_use) const;
    // True if runs make little or no progress for lack of processors, for
    // example since the capacity has shrunk.
    bool is_overcommitted(double serving_use) const;
    // Forgets what a capacity that no longer holds has shown: the refusal of a
    // start, and the time without progress of runs.
    void on_capacity_changed(time_point now);
    std::size_t serving_count() const { return serving_count_; }
    std::size_t fill_count() const { return fill_count_; }
    // Since when there has always been a fill task on the worker; the earliest
    // time if an earlier leader started the first one.
    time_point fills_since() const { return fills_since_; }
    std::size_t trial_count() const { return trial_count_; }
    void end_trial(run_record& run);

    // True if capacity may have been freed since the last call.
    bool take_freed_capacity()
    {
        return std::exchange(has_freed_capacity_, false);
    }
    void note_gained_room() { has_freed_capacity_ = true; }

    void note_clock(worker_clock clock, time_point received);
    bool knows_clock() const { return clock_known_; }
    // Estimate of the worker's clock at `now`, assuming that it runs at the
    // right speed.
    worker_clock clock_at(time_point now) const;
    // Records the latest deadline in any order to this worker.
    void note_deadline(worker_clock deadline);
    // Records when the leases end that earlier leaders granted.
    void note_earlier_leases(time_point end) { earlier_leases_end_ = end; }
    // Time from which every lease has certainly expired, if the worker's clock
    // is slow by at most `clock_error`.
    time_point leases_expire_at(double clock_error) const;

    // Lower bound of the worker's clock at `now`.
    worker_clock least_clock_at(time_point now, double clock_error) const;
    // Restarts of any worker that this leader had noticed when it last noticed
    // one of this worker, or learnt of the worker. All orders name it.
    std::uint32_t restarts() const { return restarts_; }
    void set_restarts(std::uint32_t restarts) { restarts_ = restarts; }
    // The worker has restarted, which makes `restarts` of all workers. Orders
    // to its former process may still be executed, which extend leases until
    // `leases_end` at most.
    void note_restart(std::uint32_t restarts, time_point leases_end);
    // The worker has executed an order that names `restarts`: from now on, it
    // refuses those to its former process, which have extended leases until
    // `leases_end` at most.
    void on_order_executed(std::uint32_t restarts, time_point leases_end);

    // True while the worker may still execute orders to a former process.
    bool accepts_earlier_orders() const { return accepts_earlier_orders_; }
    // True if an order to a former process may have granted a lease that ends
    // after `end`.
    bool may_hold_leases_beyond(time_point end) const
    {
        return accepts_earlier_orders_ || earlier_leases_end_ > end;
    }

    // Resets the state after a restart of the worker, which keeps no runs and
    // no state.
    void restart(worker_incarnation incarnation);

    // Filled by interference_model::serving_pressures().
    struct pressure_cache
    {
        std::vector<serving_pressure> entries;
        time_point made_at{};
        bool is_stale = true;
    };
    mutable pressure_cache cached_pressures;

private:
    void account(const run_record& run, int sign);

    account_ledger* account_usage_ = nullptr;
    // Invariant: the sums below match the runs.
    std::map<task_key, run_record> runs_;
    task_size used_;
    std::int64_t fill_demand_ = 0;
    std::int64_t serving_reserved_ = 0;
    std::size_t serving_count_ = 0;
    std::size_t fill_count_ = 0;
    time_point fills_since_{};
    std::size_t trial_count_ = 0;
    std::size_t unknown_size_count_ = 0;
    bool has_freed_capacity_ = true;

    bool clock_known_ = false;
    worker_clock clock_{};
    time_point clock_read_at_{};
    worker_clock latest_deadline_{};
    time_point earlier_leases_end_{};
    std::uint32_t restarts_ = 0;
    // The worker may still execute orders that were sent before the last
    // restart was noticed.
    bool accepts_earlier_orders_ = false;
};

} // namespace hemlockdeal::jobs
