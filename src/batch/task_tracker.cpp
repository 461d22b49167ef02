// See the header.
#include "batch/task_tracker.hpp"

#include <algorithm>
#include <cmath>

namespace hemlockdeal
{

namespace
{

// Reports come each 5 s; a task that is missing for this long was evicted or
// its worker is gone.
constexpr duration report_timeout = std::chrono::minutes(2);
constexpr duration shortest_interval = std::chrono::seconds(2);
// A run time is extrapolated from here on. Waiting for the end would make the
// short tasks of a class count first.
constexpr float progress_for_run_time = 0.2F;

float seconds(duration d)
{
    return std::chrono::duration<float>(d).count();
}

} // namespace

float reported_load(const running_task& task, const worker_view& worker)
{
    return worker.size.processors.value <= 0
               ? 0.0F
               : static_cast<float>(task.used.processors.value) /
                     static_cast<float>(worker.size.processors.value);
}

void task_tracker::start(std::uint64_t key, double progress, time_point now)
{
    tracked task;
    task.first_progress = static_cast<float>(progress);
    task.progress = task.first_progress;
    task.first = now;
    task.at = now;
    tasks_.insert_or_assign(key, task);
}

void task_tracker::observe(const worker_view& worker, time_point now,
                           class_table& classes, interference_model& model,
                           run_time_estimator& estimator)
{
    class_loads loads{};
    for (const running_task& running : worker.running)
    {
        loads[classes.index(running.job->work_class)] +=
            reported_load(running, worker);
    }
    const auto [previous, is_new] =
        loads_.try_emplace(stable_hash(worker.id.value()), loads);
    class_loads mean{};
    std::ranges::transform(loads, previous->second, mean.begin(),
                           [](float a, float b) { return (a + b) / 2.0F; });
    previous->second = loads;

    for (const running_task& running : worker.running)
    {
        const std::uint64_t key =
            task_key(stable_hash(running.job->id.value()), running.index);
        tracked& task = tasks_[key];
        const std::size_t kind = classes.index(running.job->work_class);
        class_loads neighbours = mean;
        neighbours[kind] =
            std::max(0.0F, neighbours[kind] - reported_load(running, worker));
        measure_rate(task, running, kind, neighbours, now, model);
        task.peak_processors =
            std::max(task.peak_processors, running.used.processors.value);
        task.peak_memory =
            std::max(task.peak_memory, running.used.memory.value);
        const float done = task.progress - task.first_progress;
        if (!task.has_run_time && done >= progress_for_run_time)
        {
            task.has_run_time = true;
            estimator.add_run_time(
                *running.job, std::chrono::duration_cast<duration>(
                                  std::chrono::duration<float>(
                                      seconds(task.at - task.first) / done)));
            resources peak;
            peak.processors.value = task.peak_processors;
            peak.memory.value = task.peak_memory;
            estimator.add_use(*running.job, peak);
        }
    }
    forget_unreported(now);
}

void task_tracker::measure_rate(tracked& task, const running_task& running,
                                std::size_t kind, const class_loads& neighbours,
                                time_point now, interference_model& model)
{
    const auto progress = static_cast<float>(running.progress);
    const bool full_speed = running.share >= 1.0;
    const bool first_report = !task.reported;
    if (first_report && task.first == time_point())
    {
        task.first = now;
        task.first_progress = progress;
    }
    const duration interval = now - task.at;
    const float gained = progress - task.progress;
    if (!first_report && interval < shortest_interval)
    {
        return;
    }
    // A throttled task says nothing about its neighbours.
    rate_difference difference;
    if (!first_report && full_speed && task.full_speed && gained > 0.0F &&
        task.series.add(std::log(gained / seconds(interval)), neighbours,
                        difference))
    {
        model.learn(kind, difference);
    }
    task.reported = true;
    task.full_speed = full_speed;
    task.progress = progress;
    task.at = now;
}

void task_tracker::finish(const job_submission& job, std::uint32_t index,
                          duration ran_for, run_time_estimator& estimator)
{
    const auto found =
        tasks_.find(task_key(stable_hash(job.id.value()), index));
    if (found == tasks_.end())
    {
        estimator.add_run_time(job, ran_for);
        return;
    }
    const tracked& task = found->second;
    if (!task.has_run_time)
    {
        const float left = std::max(0.05F, 1.0F - task.first_progress);
        estimator.add_run_time(
            job, std::chrono::duration_cast<duration>(
                     std::chrono::duration<float>(seconds(ran_for) / left)));
        if (task.reported)
        {
            resources peak;
            peak.processors.value = task.peak_processors;
            peak.memory.value = task.peak_memory;
            estimator.add_use(job, peak);
        }
    }
    tasks_.erase(found);
}

void task_tracker::forget_unreported(time_point now)
{
    if (now - cleaned_at_ < report_timeout)
    {
        return;
    }
    cleaned_at_ = now;
    // Workers that left the shard; the others report again within seconds.
    loads_.clear();
    std::erase_if(tasks_, [&](const auto& entry) {
        return entry.second.at + report_timeout < now;
    });
}

std::size_t task_tracker::bytes_per_task()
{
    // The value, its key and the links of a hash node.
    return sizeof(std::pair<const std::uint64_t, tracked>) + 2 * sizeof(void*);
}

} // namespace hemlockdeal
