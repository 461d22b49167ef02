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
// Workers are taken for likely to restart under their ids for this long after
// one did.
constexpr duration restart_memory = std::chrono::seconds(60);

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
    // This process of the worker refuses a late start, but a later one may
    // execute it.
    const auto& noticed_at = state_.restart_noticed_at;
    const bool may_start_late =
        run.is_unresolved && noticed_at && now - *noticed_at < restart_memory;
    const auto latest_start = run.ordered_at + state_.options.max_order_delay;
    if (may_start_late)
    {
        state_.note_withdrawn_start(run.account, run.size,
                                    latest_start +
                                        longest_granted_lease(state_.options));
    }
    if (!was_current)
    {
        return;
    }
    state_.requeue(key, "run missing from the worker's reports");
    // Long-running tasks have to run again sooner.
    if (may_start_late && !run.is_long_running)
    {
        state_.registry.find(key.job)->task(key).not_before = latest_start;
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
