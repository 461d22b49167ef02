// State transitions of a job's tasks.
#include "jobs/live_job.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "jobs/stored_progress.hpp"

namespace hemlockdeal::jobs
{

namespace
{

// Occurrences that are activated ahead of the start of their tasks.
constexpr std::size_t max_untouched_occurrences = 32;

const task_record untouched_task;
const task_record uncertain_task = [] {
    task_record record;
    record.may_run_elsewhere = true;
    return record;
}();
const task_record finished_task = [] {
    task_record record;
    record.phase = task_phase::done;
    return record;
}();

} // namespace

live_job::live_job(job definition)
    : job_(std::move(definition)),
      critical_paths_(critical_paths_from(job_.steps)),
      critical_path_(critical_paths_.empty()
                         ? duration{}
                         : std::ranges::max(critical_paths_))
{
    is_finished_.resize(job_.repeats_count());
    if (job_.repeats.count == 0)
    {
        activate(0);
    }
}

const step& live_job::step_of(const task_key& key) const
{
    return job_.steps[key.step];
}

bool live_job::has(const task_key& key) const
{
    return key.occurrence < is_finished_.size() &&
           !is_finished_[key.occurrence] && key.step < job_.steps.size() &&
           key.index < job_.steps[key.step].task_count;
}

const task_record& live_job::peek(const task_key& key) const
{
    const auto& initial = are_all_uncertain_ ? uncertain_task : untouched_task;
    const auto active = active_.find(key.occurrence);
    if (active == active_.end())
    {
        return is_finished_[key.occurrence] ? finished_task : initial;
    }
    const auto& step = active->second.steps[key.step];
    const auto found = step.tasks.find(key.index);
    if (found != step.tasks.end())
    {
        return found->second;
    }
    return step.is_done(key.index) ? finished_task : initial;
}

task_record& live_job::task(const task_key& key)
{
    const auto& state = peek(key);
    auto& tasks = activate(key.occurrence).steps[key.step].tasks;
    return tasks.try_emplace(key.index, state).first->second;
}

occurrence_record& live_job::activate(std::uint32_t occurrence)
{
    const auto [found, is_new] = active_.try_emplace(occurrence);
    if (is_new)
    {
        found->second.steps.reserve(job_.steps.size());
        for (const auto& s : job_.steps)
        {
            auto& record = found->second.steps.emplace_back(s.task_count);
            if (s.is_long_running)
            {
                record.waiting_since = waiting_since_at_first_;
            }
        }
    }
    return found->second;
}

void live_job::activate_due(std::chrono::milliseconds unix_now)
{
    const auto is_due = [&] {
        return next_occurrence_ < is_finished_.size() &&
               due(next_occurrence_) <= unix_now;
    };
    if (is_due())
    {
        auto untouched = static_cast<std::size_t>(
            std::ranges::count_if(active_, [](const auto& entry) {
                return entry.second.is_untouched();
            }));
        for (; is_due() && untouched < max_untouched_occurrences;
             ++next_occurrence_)
        {
            if (!is_finished_[next_occurrence_] &&
                !active_.contains(next_occurrence_))
            {
                activate(next_occurrence_);
                ++untouched;
            }
        }
    }
    waiting_since_at_first_.reset();
}

void live_job::finish(std::uint32_t occurrence)
{
    active_.erase(occurrence);
    is_finished_[occurrence] = true;
    ++done_occurrences_;
}

bool live_job::is_open(std::uint32_t occurrence, std::uint32_t step,
                       std::chrono::milliseconds unix_now) const
{
    if (due(occurrence) > unix_now)
    {
        return false;
    }
    const auto active = active_.find(occurrence);
    return std::ranges::all_of(job_.steps[step].after,
                               [&](std::uint32_t before) {
                                   return active != active_.end() &&
                                          active->second.steps[before].done ==
                                              job_.steps[before].task_count;
                               });
}

task_record& live_job::set_phase(const task_key& key, task_phase phase)
{
    auto& record = task(key);
    auto& step = step_state(key.occurrence, key.step);
    step.waiting -= record.phase == task_phase::waiting ? 1 : 0;
    record.phase = phase;
    step.waiting += phase == task_phase::waiting ? 1 : 0;
    return record;
}

void live_job::set_placed(const task_key& key, const worker_id& worker,
                          std::uint32_t run)
{
    auto& record = set_phase(key, task_phase::placed);
    record.worker = worker;
    record.current_run = run;
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
    if (peek(key).phase == task_phase::done)
    {
        return false;
    }
    has_started_ = true;
    auto& occurrence = activate(key.occurrence);
    auto& step = occurrence.steps[key.step];
    step.set_done(key.index);
    if (step.done < job_.steps[key.step].task_count)
    {
        return true;
    }
    if (++occurrence.done_steps == occurrence.steps.size())
    {
        finish(key.occurrence);
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
    return !job_.steps[key.step].is_long_running &&
           peek(key).failed_runs.size() >= job_.policy.max_attempts;
}

void live_job::restore(const job_progress& progress)
{
    state_ = progress.state;
    has_started_ = progress.has_started;
    lists_ordered_tasks_ = progress.ordered.has_value();
    restore_tasks(*this, progress);
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
    for (std::uint32_t k = 0; k < is_finished_.size(); ++k)
    {
        const auto active = active_.find(k);
        if (active != active_.end())
        {
            add_active(k, job_.steps, active->second, out);
        }
        else if (is_finished_[k])
        {
            add_finished(k, job_.steps, out);
        }
    }
    return out;
}

template <typename Change>
void live_job::for_each_record(const Change& change)
{
    for (auto& [k, occurrence] : active_)
    {
        for (auto& step : occurrence.steps)
        {
            for (auto& [index, record] : step.tasks)
            {
                change(record);
            }
        }
    }
}

void live_job::set_collected(std::uint64_t number)
{
    for_each_record([number](task_record& record) {
        if (record.phase == task_phase::done)
        {
            return;
        }
        if (record.is_announced && record.first_change_set == 0)
        {
            record.first_change_set = number;
        }
        if (std::exchange(record.has_unstored_crash, false))
        {
            record.crash_change_set = number;
        }
    });
}

void live_job::collect_trials(
    std::map<worker_id, std::vector<task_key>>& trials) const
{
    for (const auto& [k, occurrence] : active_)
    {
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s)
        {
            for (const auto& [i, record] : occurrence.steps[s].tasks)
            {
                const auto& worker = record.crashes.tried_on;
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
    are_all_uncertain_ = !lists_ordered_tasks_;
    for_each_record([this](task_record& record) {
        record.may_run_elsewhere =
            record.phase == task_phase::waiting &&
            (record.is_announced || !lists_ordered_tasks_);
    });
}

void live_job::mark_uncertain(const task_key& key)
{
    if (peek(key).phase == task_phase::waiting)
    {
        task(key).may_run_elsewhere = true;
    }
}

void live_job::set_long_running_waiting_since(time_point since)
{
    waiting_since_at_first_ = since;
    for (auto& [k, occurrence] : active_)
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
    are_all_uncertain_ = false;
    for_each_record(
        [](task_record& record) { record.may_run_elsewhere = false; });
}

task_size live_job::uncertain_size() const
{
    task_size sum;
    for (const auto& [k, occurrence] : active_)
    {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s)
        {
            const auto& step = occurrence.steps[s];
            const auto count =
                are_all_uncertain_
                    ? std::int64_t{step.waiting}
                    : std::ranges::count_if(step.tasks, [](const auto& task) {
                          return task.second.may_run_elsewhere;
                      });
            sum += job_.steps[s].size * count;
        }
    }
    return sum;
}

std::vector<job_progress::task_position> live_job::unfinished_runs() const
{
    std::vector<job_progress::task_position> out;
    for (const auto& [k, occurrence] : active_)
    {
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s)
        {
            for (const auto& [i, task] : occurrence.steps[s].tasks)
            {
                if (task.phase == task_phase::placed || task.may_run_elsewhere)
                {
                    out.push_back({k, s, i});
                }
            }
        }
    }
    return out;
}

} // namespace hemlockdeal::jobs
