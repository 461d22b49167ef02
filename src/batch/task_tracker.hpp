// Follows running tasks through lagging usage reports.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "batch/class_table.hpp"
#include "batch/interference_model.hpp"
#include "batch/placement_policy.hpp"
#include "batch/rate_series.hpp"
#include "batch/run_time_estimator.hpp"

namespace hemlockdeal
{

inline std::uint64_t task_key(std::uint64_t job, std::uint32_t index)
{
    return (job ^ index) * 0x9e3779b97f4a7c15ULL;
}

// Turns progress into rates for the interference model, and into run times
// and peaks of use for the estimator.
class task_tracker
{
public:
    // `progress` is that of the checkpoint from which the task resumes.
    void start(std::uint64_t key, double progress, time_point now);
    void observe(const worker_view& worker, time_point now,
                 class_table& classes, interference_model& model,
                 run_time_estimator& estimator);
    void finish(const job_submission& job, std::uint32_t index,
                duration ran_for, run_time_estimator& estimator);
    void forget(std::uint64_t key) { tasks_.erase(key); }

    std::size_t tasks() const { return tasks_.size(); }
    static std::size_t bytes_per_task();

private:
    struct tracked
    {
        rate_series series;
        float first_progress = 0.0F;
        float progress = 0.0F;
        time_point first;
        time_point at;
        std::int64_t peak_processors = 0;
        std::int64_t peak_memory = 0;
        bool full_speed = false;
        bool reported = false;
        bool has_run_time = false;
    };

    void measure_rate(tracked& task, const running_task& running,
                      std::size_t kind, const class_loads& neighbours,
                      time_point now, interference_model& model);
    void forget_unreported(time_point now);

    std::unordered_map<std::uint64_t, tracked> tasks_;
    // Loads of the previous report by worker, since a rate belongs to the
    // time between two reports.
    std::unordered_map<std::uint64_t, class_loads> loads_;
    time_point cleaned_at_;
};

// Share of the worker's processors that the task uses by its last report.
float reported_load(const running_task& task, const worker_view& worker);

} // namespace hemlockdeal
