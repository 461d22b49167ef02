// Order in which the parts of a worker report are processed.
#include "jobs/report_intake.hpp"

#include <algorithm>
#include <string>

namespace hemlockdeal::jobs
{

void report_intake::on_report(fleet_worker& worker, const worker_report& report,
                              time_point sent_at, time_point now)
{
    if (report.incarnation != worker.entry.incarnation)
    {
        worker_ends_.on_restart(worker, report, sent_at, now);
    }
    else
    {
        crashes_.on_response(worker);
        worker.acknowledged_ends =
            std::max(worker.acknowledged_ends, worker.acknowledging);
    }
    worker.note_clock(report.clock, now);
    state_.note_executed_order(worker, worker.poll_restarts, now);
    worker.contact_at = sent_at;
    worker.responded_at = now;
    worker.failed_polls = 0;
    worker.has_restarted = false;
    worker.has_ended = false;
    worker.has_more_ends = report.has_more_ends;
    worker_ends_.withdraw_given_up_starts(worker, now);
    count_unreadable_rows(worker, report);
    run_ends_.on_report(worker, report, now);
    reported_runs_.on_report(worker, report, now);
    missing_runs_.on_report(worker, report, sent_at, now);
}

void report_intake::on_late_report(fleet_worker& worker,
                                   const worker_report& report, time_point now)
{
    if (report.incarnation == worker.entry.incarnation)
    {
        run_ends_.on_report(worker, report, now);
    }
}

void report_intake::count_unreadable_rows(fleet_worker& worker,
                                          const worker_report& report)
{
    // An end without a number may never be acknowledged either.
    const auto unreadable_ends =
        report.unreadable_ended + static_cast<std::size_t>(std::ranges::count(
                                      report.ended, 0U, &ended_run::number));
    const bool is_changed =
        worker.unreadable_runs != report.unreadable_running ||
        worker.unreadable_ends != unreadable_ends;
    if (!is_changed)
    {
        return;
    }
    if (report.unreadable_running < worker.unreadable_runs)
    {
        worker.note_gained_room();
    }
    worker.unreadable_runs = report.unreadable_running;
    worker.unreadable_ends = unreadable_ends;
    state_.log_event("rows of a worker report cannot be decoded",
                     {{"worker", worker.entry.id.value()},
                      {"running", std::to_string(report.unreadable_running)},
                      {"ended", std::to_string(unreadable_ends)},
                      {"first", report.first_unreadable}});
}

} // namespace hemlockdeal::jobs
