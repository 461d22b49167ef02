// State transitions of a job's tasks.
#include "jobs/live_job.hpp"

#include <algorithm>
#include <utility>

namespace hemlockdeal::jobs
{

namespace
{

step_record make_waiting_step(const step& s)
{
    step_record record;
    record.tasks.resize(s.task_count);
    record.waiting = s.task_count;
    return record;
}

task_key key_of(const job_id& id, const job_progress::task_position& position)
{
    return {id, position.occurrence, position.step, position.index};
}

} // namespace

live_job::live_job(job definition)
    : job_(std::move(definition)),
      critical_paths_(critical_paths_from(job_.steps)),
      critical_path_(critical_paths_.empty()
                         ? duration{}
                         : std::ranges::max(critical_paths_))
{
    occurrences_.resize(job_.repeats_count());
    for (std::uint32_t k = 0; k < occurrences_.size(); ++k)
    {
        if (job_.repeats.count > 0)
        {
            occurrences_[k].due =
                job_.repeats.first_due + k * job_.repeats.interval;
        }
        std::ranges::transform(job_.steps,
                               std::back_inserter(occurrences_[k].steps),
                               make_waiting_step);
    }
}

const step& live_job::step_of(const task_key& key) const
{
    return job_.steps[key.step];
}

bool live_job::has(const task_key& key) const
{
    return key.occurrence < occurrences_.size() &&
           key.step < job_.steps.size() &&
           key.index < job_.steps[key.step].task_count;
}

task_record& live_job::task(const task_key& key)
{
    return occurrences_[key.occurrence].steps[key.step].tasks[key.index];
}

bool live_job::is_open(std::uint32_t occurrence, std::uint32_t step,
                       std::chrono::milliseconds unix_now) const
{
    const auto& record = occurrences_[occurrence];
    if (record.due > unix_now)
    {
        return false;
    }
    return std::ranges::all_of(job_.steps[step].after,
                               [&](std::uint32_t before) {
                                   const auto& earlier = record.steps[before];
                                   return earlier.done == earlier.tasks.size();
                               });
}

task_record& live_job::set_phase(const task_key& key, task_phase phase)
{
    auto& step = occurrences_[key.occurrence].steps[key.step];
    auto& record = step.tasks[key.index];
    step.waiting -= record.phase == task_phase::waiting ? 1 : 0;
    step.done -= record.phase == task_phase::done ? 1 : 0;
    record.phase = phase;
    step.waiting += phase == task_phase::waiting ? 1 : 0;
    step.done += phase == task_phase::done ? 1 : 0;
    return record;
}

void live_job::set_placed(const task_key& key, const worker_id& worker,
                          std::uint32_t run)
{
    auto& record = set_phase(key, task_phase::placed);
    record.worker = worker;
    record.last_run = std::max(record.last_run, run);
    record.may_run_elsewhere = false;
    record.is_announced = true;
    has_started_ = true;
    if (state_ == job_state::queued)
    {
        state_ = job_state::running;
    }
}

void live_job::set_waiting(const task_key& key)
{
    set_phase(key, task_phase::waiting).worker = worker_id();
}

bool live_job::set_done(const task_key& key)
{
    if (task(key).phase == task_phase::done)
    {
        return false;
    }
    set_phase(key, task_phase::done).checkpoint.clear();
    has_started_ = true;
    auto& occurrence = occurrences_[key.occurrence];
    const auto& step = occurrence.steps[key.step];
    if (step.done == step.tasks.size())
    {
        ++occurrence.done_steps;
        done_occurrences_ +=
            occurrence.done_steps == occurrence.steps.size() ? 1 : 0;
    }
    return true;
}

bool live_job::add_failure(const task_key& key, std::uint32_t run)
{
    // Attempts of long-running tasks are not limited. The last runs show
    // whether a failure is reported again.
    constexpr std::size_t max_long_running_failures = 8;
    auto& runs = task(key).failed_runs;
    if (std::ranges::find(runs, run) != runs.end())
    {
        return false;
    }
    runs.push_back(run);
    if (step_of(key).is_long_running && runs.size() > max_long_running_failures)
    {
        runs.erase(runs.begin());
    }
    return true;
}

bool live_job::add_rejection(const worker_id& worker)
{
    rejected_by_.insert(worker);
    return rejected_by_.size() == 1;
}

bool live_job::has_failed(const task_key& key) const
{
    const auto& step = job_.steps[key.step];
    const auto& record =
        occurrences_[key.occurrence].steps[key.step].tasks[key.index];
    return !step.is_long_running &&
           record.failed_runs.size() >= job_.policy.max_attempts;
}

void live_job::restore(const job_progress& progress)
{
    state_ = progress.state;
    has_started_ = progress.has_started;
    lists_ordered_tasks_ = progress.ordered.has_value();
    for (const auto& position :
         progress.ordered.value_or(std::vector<job_progress::task_position>{}))
    {
        const auto key = key_of(job_.id, position);
        if (has(key))
        {
            task(key).is_announced = true;
            task(key).first_change_set = recovered_set;
        }
    }
    for (const auto& position : progress.done)
    {
        const auto key = key_of(job_.id, position);
        if (has(key))
        {
            set_done(key);
        }
    }
    for (const auto& [position, history] : progress.histories)
    {
        const auto key = key_of(job_.id, position);
        if (!has(key))
        {
            continue;
        }
        auto& record = task(key);
        record.failed_runs = history.failed_runs;
        record.checkpoint = history.checkpoint;
        record.crashes = history.crashes;
        if (!history.failed_runs.empty())
        {
            record.last_run = std::ranges::max(history.failed_runs);
        }
    }
}

job_progress live_job::progress() const
{
    job_progress out;
    out.state = state_;
    out.has_started = has_started_;
    if (is_final(state_))
    {
        return out;
    }
    if (job_.repeats.count > 0)
    {
        std::ranges::transform(job_.steps, std::back_inserter(out.step_sizes),
                               &step::task_count);
    }
    out.ordered.emplace();
    for (std::uint32_t k = 0; k < occurrences_.size(); ++k)
    {
        for (std::uint32_t s = 0; s < occurrences_[k].steps.size(); ++s)
        {
            const auto& tasks = occurrences_[k].steps[s].tasks;
            for (std::uint32_t i = 0; i < tasks.size(); ++i)
            {
                add_task_progress({k, s, i}, tasks[i], out);
            }
        }
    }
    return out;
}

void live_job::set_collected(std::uint64_t number)
{
    for (auto& occurrence : occurrences_)
    {
        for (auto& step : occurrence.steps)
        {
            for (auto& record : step.tasks)
            {
                if (record.phase == task_phase::done)
                {
                    continue;
                }
                if (record.is_announced && record.first_change_set == 0)
                {
                    record.first_change_set = number;
                }
                if (std::exchange(record.has_unstored_crash, false))
                {
                    record.crash_change_set = number;
                }
            }
        }
    }
}

void live_job::add_task_progress(const job_progress::task_position& position,
                                 const task_record& record, job_progress& to)
{
    if (record.phase == task_phase::done)
    {
        to.done.push_back(position);
        return;
    }
    if (record.is_announced)
    {
        to.ordered->push_back(position);
    }
    if (!record.failed_runs.empty() || !record.checkpoint.empty() ||
        !record.crashes.empty())
    {
        to.histories[position] = {record.failed_runs, record.checkpoint,
                                  record.crashes};
    }
}

void live_job::collect_trials(
    std::map<worker_id, std::vector<task_key>>& trials) const
{
    for (std::uint32_t k = 0; k < occurrences_.size(); ++k)
    {
        for (std::uint32_t s = 0; s < occurrences_[k].steps.size(); ++s)
        {
            const auto& tasks = occurrences_[k].steps[s].tasks;
            for (std::uint32_t i = 0; i < tasks.size(); ++i)
            {
                const auto& worker = tasks[i].crashes.tried_on;
                if (!worker.empty())
                {
                    trials[worker].push_back({job_.id, k, s, i});
                }
            }
        }
    }
}

void live_job::mark_ordered_tasks_uncertain()
{
    for (auto& occurrence : occurrences_)
    {
        for (auto& step : occurrence.steps)
        {
            std::ranges::for_each(step.tasks, [this](task_record& record) {
                record.may_run_elsewhere =
                    record.phase == task_phase::waiting &&
                    (record.is_announced || !lists_ordered_tasks_);
            });
        }
    }
}

void live_job::mark_uncertain(const task_key& key)
{
    auto& record = task(key);
    record.may_run_elsewhere = record.phase == task_phase::waiting;
}

void live_job::set_long_running_waiting_since(time_point since)
{
    for (auto& occurrence : occurrences_)
    {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s)
        {
            if (job_.steps[s].is_long_running)
            {
                occurrence.steps[s].waiting_since = since;
            }
        }
    }
}

void live_job::clear_uncertain_tasks()
{
    for (auto& occurrence : occurrences_)
    {
        for (auto& step : occurrence.steps)
        {
            std::ranges::for_each(step.tasks, [](task_record& record) {
                record.may_run_elsewhere = false;
            });
        }
    }
}

} // namespace hemlockdeal::jobs
