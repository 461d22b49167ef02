// Blends declared values, quantiles of the class and quantiles of the team in
// the class, in the logarithmic domain.
#include "batch/run_time_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace hemlockdeal
{

namespace
{

// Used when a job declares no run time.
constexpr double default_run_time_s = 600.0;

float logarithm(double value)
{
    return static_cast<float>(std::log(std::max(value, 1e-3)));
}

// Weight of `prior` falls with the square of the number of samples.
float blend(float prior, const online_quantile& learnt)
{
    const float n = static_cast<float>(learnt.count()) + 1.0F;
    const float weight = 1.0F / (n * n);
    return learnt.count() == 0
               ? prior
               : weight * prior + (1.0F - weight) * learnt.value();
}

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

void run_time_estimator::add_run_time(const job_submission& job, duration total)
{
    const float sample = logarithm(seconds(total));
    find_or_add(key_of_class(job)).run_time.add(sample);
    find_or_add(key_of_team(job)).run_time.add(sample);
}

void run_time_estimator::add_use(const job_submission& job,
                                 const resources& peak)
{
    const float processors = logarithm(
        static_cast<double>(std::max<std::int64_t>(peak.processors.value, 1)));
    const float memory = logarithm(
        static_cast<double>(std::max<std::int64_t>(peak.memory.value, 1)));
    const auto add = [&](cell& c) {
        c.processors.add(processors);
        c.memory.add(memory);
    };
    add(find_or_add(key_of_class(job)));
    add(find_or_add(key_of_team(job)));
}

task_estimate run_time_estimator::estimate(const job_submission& job) const
{
    const double declared_s = seconds(job.declared_run_time);
    float run_time =
        logarithm(declared_s > 0.0 ? declared_s : default_run_time_s);
    const resources& size = job.task_size;
    float processors = logarithm(static_cast<double>(size.processors.value));
    float memory = logarithm(static_cast<double>(size.memory.value));
    const auto refine = [&](const cell* c) {
        if (c != nullptr)
        {
            run_time = blend(run_time, c->run_time);
            processors = blend(processors, c->processors);
            memory = blend(memory, c->memory);
        }
    };
    refine(find(key_of_class(job)));
    refine(find(key_of_team(job)));

    task_estimate estimate;
    estimate.run_time = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::exp(run_time)));
    estimate.used = size;
    estimate.used.processors.value = std::llround(std::exp(processors));
    estimate.used.memory.value = std::llround(std::exp(memory));
    return estimate;
}

std::uint64_t run_time_estimator::key_of_class(const job_submission& job)
{
    return stable_hash(job.work_class.value());
}

std::uint64_t run_time_estimator::key_of_team(const job_submission& job)
{
    return stable_hash(job.team.value(), key_of_class(job));
}

run_time_estimator::cell& run_time_estimator::find_or_add(std::uint64_t key)
{
    if (cells_.size() >= cells_at_most && !cells_.contains(key))
    {
        cells_.erase(
            std::ranges::min_element(cells_, {}, [](const auto& entry) {
                return entry.second.updated;
            }));
    }
    cell& found = cells_[key];
    found.updated = ++updates_;
    return found;
}

const run_time_estimator::cell*
run_time_estimator::find(std::uint64_t key) const
{
    const auto found = cells_.find(key);
    return found == cells_.end() ? nullptr : &found->second;
}

} // namespace hemlockdeal
