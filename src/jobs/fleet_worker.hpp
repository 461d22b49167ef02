// What the leader knows of one worker: its room, its clock, and every run
// that may be on it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jobs/scheduler_options.hpp"
#include "jobs/worker_report.hpp"

namespace hemlockdeal::jobs
{

// An image by the hash of its name: images are compared often.
enum class image_number : std::uint64_t
{
};

image_number to_image(const std::string& name);

// Serving tasks of one image on a worker, as fill tasks press them.
struct pressed_image
{
    image_number image{};
    // Pressure times processor millis, summed over the worker's fill tasks.
    double weight = 0.0;
    // Slowdown that the tightest of the tasks bears at its mean load.
    double room = 0.0;
};

// A run that is, or may be, on a worker. It counts against the worker's room
// until it is known to be over.
struct run_record
{
    std::uint32_t run = 0;
    task_size size;
    bool fills = false;
    bool is_long_running = false;
    bool saves_progress = false;
    image_number image{};
    duration estimate{};
    duration tail_target{};

    time_point ordered_at{};
    // When the worker said that it has the run, by answer or report.
    std::optional<time_point> confirmed_at;
    // The order had no answer.
    bool is_unresolved = false;
    worker_clock start_deadline{};
    std::optional<time_point> stop_ordered_at;
    std::optional<time_point> stop_confirmed_at;
    // When a report showed the run last.
    time_point last_reported_at{};
    // Reports in a row that should have shown the run and did not.
    unsigned missing = 0;

    int percent = 0;
    time_point progressed_at{};
    std::int64_t measurement = -1;
    // Of a serving task: since when its tail has been above its target.
    std::optional<time_point> over_since;
    int pace = 100;
    // Since when the pace has been low.
    std::optional<time_point> slowed_since;
    // When it was started or its pace was changed.
    time_point changed_at{};
    std::string checkpoint;
    // From which the run resumed.
    std::string checkpoint_at_start;

    bool is_serving() const { return tail_target > duration{}; }
};

// The record of a run of this step that is ordered now.
run_record make_run(const step& s, std::uint32_t run, time_point now);

// True if the tail that was reported last is above its target.
bool is_over_target(const run_record& run);

// Repeated failures by the same worker's fault.
struct worker_health
{
    // Failures in a row, of different jobs.
    unsigned failures = 0;
    job_id last_failed_job;
    time_point avoided_until{};
    duration avoidance{};
    // Duration of runs against their siblings elsewhere, smoothed.
    double slowness = 1.0;
    time_point slowness_seen_at{};

    // Fades while nothing is seen, so that the worker is tried again.
    double slowness_at(time_point now) const;
    bool is_slow(time_point now) const;
};

class fleet_worker
{
public:
    explicit fleet_worker(worker_entry entry);

    worker_entry entry;
    // Not in the membership list any more.
    bool is_unlisted = false;
    // The store's list of workers that may run tasks names this one.
    bool is_recorded = false;
    // A list that names it is on its way there.
    bool is_being_recorded = false;
    worker_health health;
    // When a serving task was last seen over its target.
    time_point over_target_at{};
    // The worker refused a task for want of room that it seemed to have.
    time_point full_until{};

    // Ends up to this number have been taken.
    std::uint64_t taken_ends = 0;
    // Up to this number they have been given to the store.
    std::uint64_t sent_to_store = 0;
    // Up to this number the store has them.
    std::uint64_t stored_ends = 0;
    // Up to this number the worker has been told so; the second one is on its
    // way.
    std::uint64_t acknowledged_ends = 0;
    std::uint64_t acknowledging = 0;

    // Starts without an answer that were given up when all leases had ended.
    // A worker that has restarted meanwhile knows neither deadline nor stop,
    // and is told to refuse them as soon as it answers.
    std::vector<std::pair<task_key, std::uint32_t>> given_up;
    // The list shows another process than the one that answered last.
    bool has_restarted = false;

    std::optional<time_point> poll_sent_at;
    time_point next_poll{};
    // The latest look that was answered, by the time when it was sent.
    std::optional<time_point> contact_at;
    unsigned failed_polls = 0;

    // The store's list gives the runs of this worker.
    bool is_closed_in_store = false;

    bool has_been_seen() const { return contact_at.has_value(); }
    // Nothing is started here for now, and the ledger holds all that runs.
    bool is_closed() const
    {
        return has_been_seen() &&
               (failed_polls > 0 || is_unlisted || entry.is_leaving);
    }
    // True while answers come.
    bool is_reachable(time_point now, duration limit) const;
    bool has_unstored_ends() const { return taken_ends > stored_ends; }

    // The runs that are, or may be, on the worker.
    const std::map<task_key, run_record>& runs() const { return runs_; }
    run_record* find_run(const task_key& key);
    run_record& add_run(const task_key& key, const run_record& run);
    void erase_run(const task_key& key);
    std::size_t runs_of_step(const task_key& key) const;

    // Room that is reserved; fill tasks reserve memory only.
    const task_size& room_used() const { return used_; }
    // Processors that fill tasks ask for at their present pace.
    std::int64_t fill_demand() const { return fill_demand_; }
    void set_pace(run_record& run, int percent, time_point now);
    // Processors that are left to fill tasks when serving tasks use this
    // share of what they reserve.
    double likely_unused(double serving_use) const;
    std::size_t serving_count() const { return serving_; }
    std::size_t fill_count() const { return fills_; }

    // True if room may have been gained since the last call.
    bool take_gained_room() { return std::exchange(has_gained_room_, false); }
    void note_gained_room() { has_gained_room_ = true; }

    void note_clock(worker_clock clock, time_point received);
    bool knows_clock() const { return clock_known_; }
    // What the worker's clock shows now, if it runs at the right speed.
    worker_clock clock_at(time_point now) const;
    // Remembers the latest deadline that was ordered.
    void note_deadline(worker_clock deadline);
    // From then on every lease that was ordered has surely ended.
    time_point leases_expire_at(double clock_error) const;

    // The worker has started again: it runs nothing and remembers nothing.
    void restart(worker_incarnation incarnation);

    // Kept by interference_model::pressed_images().
    struct pressed_cache
    {
        std::vector<pressed_image> images;
        time_point made_at{};
        bool is_stale = true;
    };
    mutable pressed_cache pressed;

private:
    void account(const run_record& run, int sign);

    // Invariant: the sums below are those of the runs.
    std::map<task_key, run_record> runs_;
    task_size used_;
    std::int64_t fill_demand_ = 0;
    std::int64_t serving_reserve_ = 0;
    std::size_t serving_ = 0;
    std::size_t fills_ = 0;
    bool has_gained_room_ = true;

    bool clock_known_ = false;
    worker_clock clock_{};
    time_point clock_read_at_{};
    worker_clock latest_deadline_{};
};

} // namespace hemlockdeal::jobs
