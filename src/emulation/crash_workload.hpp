// Jobs of the crash simulation: short urgent jobs, fill jobs, lasting serving
// jobs, and jobs with tasks that crash their workers.
#pragma once

#include <cstddef>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "emulation/crash_options.hpp"
#include "jobs/jobs.hpp"

namespace hemlockdeal::emulation
{

struct simulated_job
{
    jobs::job definition;
    // Tasks that crash the worker that starts them.
    std::set<jobs::task_key> crashing;
};

// Processors and memory of a VM by its number.
jobs::task_size vm_capacity(std::size_t number);

// Does not depend on what the scheduler does, so that all variants of a
// scheduler play the same load.
class crash_workload
{
public:
    crash_workload(const crash_options& options, time_point begin);

    // Lasting jobs that reserve the configured share of the processors.
    std::vector<simulated_job> make_lasting_jobs();
    // Jobs that are submitted within the step that ends now.
    std::vector<simulated_job> make_jobs(time_point now, duration step);

    // Time that a run of the task works from the beginning to the end.
    static duration work_of(const jobs::task_key& key,
                            const jobs::step& task_step);

private:
    jobs::job make_job(const std::string& queue, int priority, time_point now);
    jobs::step make_step(const std::string& name, double width);
    jobs::step make_urgent_step();
    jobs::step make_fill_step();
    jobs::step make_lasting_step();
    jobs::step make_gang_step();
    simulated_job make_urgent(time_point now);
    simulated_job make_fill(time_point now);
    simulated_job make_lasting(time_point now);
    simulated_job make_crashing(time_point now);
    double draw(double mean, double spread);
    std::uint32_t draw_below(std::uint32_t limit)
    {
        return static_cast<std::uint32_t>(random_() % limit);
    }

    const crash_options options_;
    time_point begin_;
    std::mt19937 random_;
    std::size_t job_count_ = 0;
    // Times at which jobs with crashing tasks are submitted, ascending.
    std::vector<time_point> crashing_at_;
};

} // namespace hemlockdeal::emulation
