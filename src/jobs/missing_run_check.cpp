// Conditions on which a run that reports do not list is removed. A run is
// removed from its worker's ledger only when it can no longer be on the worker.
#include "jobs/missing_run_check.hpp"

#include <vector>

#include "jobs/current_run.hpp"

namespace hemlockdeal::jobs
{

namespace
{

// A single report can predate the run even if it was requested later.
constexpr unsigned missing_report_threshold = 2;
// Longer than a worker takes to end a run after it has confirmed the stop.
constexpr duration max_stop_time = std::chrono::seconds(2);

} // namespace

void missing_run_check::on_report(fleet_worker& worker,
                                  const worker_report& report,
                                  time_point sent_at, time_point now)
{
    if (report.has_more_ends)
    {
        // Any absent run may be among the ends that are not listed.
        return;
    }
    std::vector<task_key> absent;
    for (const auto& [key, run] : worker.runs())
    {
        if (run.last_reported_at != now)
        {
            absent.push_back(key);
        }
    }
    for (const auto& key : absent)
    {
        auto& run = *worker.find_run(key);
        if (run.confirmed_at && *run.confirmed_at < sent_at)
        {
            ++run.missing;
        }
        if (run.is_unresolved && repeater_.may_repeat(worker, key, run, now))
        {
            state_.starts_to_repeat.insert({worker.entry.id, key});
            continue;
        }
        if (has_certainly_ended(run, report, sent_at))
        {
            requeue_absent(worker, key, now);
            continue;
        }
        if (run.is_unresolved)
        {
            state_.order_stop(worker, key, now,
                              "no response to the start order");
            continue;
        }
        if (report.unreadable_running > 0 &&
            run.missing >= missing_report_threshold)
        {
            state_.order_stop(worker, key, now,
                              "run missing beside rows that cannot be decoded");
        }
    }
}

void missing_run_check::requeue_absent(fleet_worker& worker,
                                       const task_key& key, time_point now)
{
    const auto run = *worker.find_run(key);
    const bool was_current = is_current_run(state_, worker, key, run.run);
    worker.erase_run(key);
    state_.note_start_in_doubt(worker, key, run, now);
    if (was_current)
    {
        if (!worker.unanswered.may_order_again(key))
        {
            auto& owner = *state_.registry.find(key.job);
            owner.task(key).failed_on.add(worker.entry.id);
        }
        state_.requeue(key, "run missing from the worker's reports");
    }
}

bool missing_run_check::has_certainly_ended(const run_record& run,
                                            const worker_report& report,
                                            time_point sent_at) const
{
    if (report.unreadable_running > 0)
    {
        // Any row that cannot be decoded may be this run, unless the run has
        // been stopped.
        return run.stop_confirmed_at &&
               *run.stop_confirmed_at + max_stop_time < sent_at;
    }
    if (run.confirmed_at)
    {
        return run.missing >= missing_report_threshold;
    }
    // A late start is refused after its deadline or after its stop.
    const bool is_past_deadline = report.clock > run.start_deadline;
    const bool is_withdrawn =
        run.stop_confirmed_at && *run.stop_confirmed_at < sent_at;
    return run.is_unresolved && (is_past_deadline || is_withdrawn);
}

} // namespace hemlockdeal::jobs
