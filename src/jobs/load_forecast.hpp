// Load of the serving tasks of each job over time, and its likely peak.
#pragma once

#include <deque>
#include <map>

#include "jobs/job.hpp"

namespace hemlockdeal::jobs
{

// Expects the highest load that a serving job may reach while a new fill task
// runs beside it. The load of a job swings within seconds and is the same for
// all its tasks.
class load_forecast
{
public:
    static constexpr double min_load = 0.1;
    static constexpr double max_load = 0.9;

    // Adds an estimate of the job's load from one measurement.
    void observe(const job_id& job, double load, time_point now);

    // Present load.
    double median(const job_id& job, time_point now) const;

    // Highest load that is likely during the run of a fill task that starts
    // now.
    double peak(const job_id& job, time_point now) const;

private:
    struct estimate
    {
        time_point at{};
        double load = 0.0;
    };

    struct job_load
    {
        // Estimates of the last two windows, oldest first.
        std::deque<estimate> recent;
        // Medians of the last two windows; zero without estimates.
        double median = 0.0;
        double previous_median = 0.0;
        time_point refreshed_at{};
        // Highest median so far.
        double highest = 0.0;
        // The load has fallen since then, so that it was a peak.
        bool has_seen_peak = false;
    };

    // The job's load with up-to-date medians, or null for an unknown job.
    const job_load* refreshed(const job_id& job, time_point now) const;
    static void refresh(job_load& known, time_point now);
    static double median_between(const job_load& known, time_point from,
                                 time_point to);
    static double slope_per_s(const job_load& known);

    mutable std::map<job_id, job_load> loads_;
};

} // namespace hemlockdeal::jobs
