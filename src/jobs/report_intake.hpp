// Processes the reports of workers.
#pragma once

#include "jobs/crash_attribution.hpp"
#include "jobs/missing_run_check.hpp"
#include "jobs/reported_run_handler.hpp"
#include "jobs/run_end_handler.hpp"
#include "jobs/scheduler_state.hpp"
#include "jobs/worker_end_handler.hpp"

namespace hemlockdeal::jobs
{

class report_intake
{
public:
    report_intake(scheduler_state& state, crash_attribution& crashes,
                  worker_end_handler& worker_ends)
        : state_(state), crashes_(crashes), worker_ends_(worker_ends)
    {}

    void on_report(fleet_worker& worker, const worker_report& report,
                   time_point sent_at, time_point now);
    // The report was sent before the end of the worker process. Its running
    // tasks have been dropped; its ended ones count.
    void on_late_report(fleet_worker& worker, const worker_report& report,
                        time_point now);

private:
    // Counts the rows that cannot be decoded, and logs a change.
    void count_unreadable_rows(fleet_worker& worker,
                               const worker_report& report);

    scheduler_state& state_;
    crash_attribution& crashes_;
    worker_end_handler& worker_ends_;
    run_end_handler run_ends_{state_};
    reported_run_handler reported_runs_{state_, crashes_};
    missing_run_check missing_runs_{state_};
};

} // namespace hemlockdeal::jobs
