// Counts and checks of the crash ledger.
#include "emulation/crash_ledger.hpp"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <iterator>
#include <utility>

namespace hemlockdeal::emulation
{

using jobs::job_state;
using jobs::run_end;
using jobs::task_key;

namespace
{

std::string seconds_text(duration length)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.2f s",
                  std::chrono::duration<double>(length).count());
    return text;
}

std::set<task_key> tasks_of(const jobs::job& definition)
{
    std::set<task_key> out;
    for (std::uint32_t number = 0; number < definition.steps.size(); ++number)
    {
        for (std::uint32_t i = 0; i < definition.steps[number].task_count; ++i)
        {
            out.insert({definition.id, 0, number, i});
        }
    }
    return out;
}

} // namespace

std::string_view to_text(crash_check check)
{
    switch (check)
    {
    case crash_check::repeated_start:
        return "repeated start";
    case crash_check::late_give_up:
        return "late to give up";
    case crash_check::wrong_give_up:
        return "wrongly given up";
    case crash_check::completed_early:
        return "completed early";
    case crash_check::unfinished_job:
        return "unfinished job";
    case crash_check::lasting_task_away:
        return "lasting task away";
    case crash_check::second_run:
        return "second run";
    }
    return "unknown";
}

void crash_ledger::on_submitted(const jobs::job& definition,
                                std::set<task_key> crashing, time_point now)
{
    recorded_job made;
    made.submitted_at = now;
    made.is_lasting =
        std::ranges::any_of(definition.steps, &jobs::step::is_long_running);
    made.crashing = std::move(crashing);
    made.not_done = tasks_of(definition);
    result_.crashing_jobs += made.crashing.empty() ? 0 : 1;
    result_.sound_jobs += made.crashing.empty() && !made.is_lasting ? 1 : 0;
    jobs_.emplace(definition.id, std::move(made));
}

void crash_ledger::on_started(const task_key& task, const worker_id& worker,
                              time_point now)
{
    auto& workers = running_[task];
    if (!workers.empty())
    {
        record(crash_check::second_run, to_text(task) + " runs on two workers",
               now);
    }
    workers.insert(worker);
    if (const auto lost = lost_lasting_.find(task); lost != lost_lasting_.end())
    {
        const auto away = now - lost->second.at;
        result_.longest_away = std::max(result_.longest_away, away);
        result_.total_away += away;
        lost_lasting_.erase(lost);
    }
    auto& owner = jobs_.at(task.job);
    owner.first_start_at = owner.first_start_at.value_or(now);
    if (owner.crashing.contains(task))
    {
        count_start(task, owner, now);
    }
}

void crash_ledger::count_start(const task_key& task, recorded_job& owner,
                               time_point now)
{
    auto& count = counts_[task];
    ++count.starts;
    ++result_.crashing_starts;
    result_.max_starts = std::max(result_.max_starts, count.starts);
    if (owner.is_over)
    {
        record(crash_check::repeated_start,
               to_text(task) + " is started after its job was given up", now);
    }
    if (count.crashes < limits_.workers_crashed)
    {
        return;
    }
    ++count.later_starts;
    result_.max_later_starts =
        std::max(result_.max_later_starts, count.later_starts);
    if (count.later_starts == limits_.later_starts + 1)
    {
        record(crash_check::repeated_start,
               to_text(task) + " is started " +
                   std::to_string(count.later_starts) + " times after " +
                   std::to_string(limits_.workers_crashed) +
                   " workers have crashed under it",
               now);
    }
}

void crash_ledger::on_run_ended(const task_key& task, const worker_id& worker,
                                run_end how, time_point now)
{
    running_[task].erase(worker);
    if (how != run_end::done)
    {
        note_lost_run(task, now);
        return;
    }
    jobs_.at(task.job).not_done.erase(task);
}

void crash_ledger::on_worker_lost(const worker_id& worker,
                                  const std::vector<task_key>& runs,
                                  const std::optional<task_key>& cause,
                                  time_point now)
{
    ++(cause ? result_.crashes_by_tasks : result_.other_losses);
    for (const auto& task : runs)
    {
        running_[task].erase(worker);
        note_lost_run(task, now);
    }
    if (cause)
    {
        count_crash(*cause, now);
    }
}

void crash_ledger::count_crash(const task_key& task, time_point now)
{
    auto& count = counts_[task];
    ++count.crashes;
    auto& owner = jobs_.at(task.job);
    if (count.crashes >= 2 && !owner.second_crash_at)
    {
        owner.second_crash_at = now;
    }
}

void crash_ledger::note_lost_run(const task_key& task, time_point now)
{
    const auto& owner = jobs_.at(task.job);
    if (owner.is_lasting && owner.crashing.empty() && !owner.is_over)
    {
        ++result_.lasting_losses;
        lost_lasting_.try_emplace(
            task, lost_lasting_run{now, -recovery_left(now), false});
    }
}

duration crash_ledger::recovery_left(time_point now) const
{
    return result_.takeovers == 0
               ? duration{}
               : std::max(duration{},
                          took_over_at_ + limits_.recovery_time - now);
}

void crash_ledger::on_start_lost(const task_key& task, time_point lost_at,
                                 time_point now)
{
    const auto lost = lost_lasting_.find(task);
    if (lost != lost_lasting_.end() && now - lost_at <= limits_.unnoticed_time)
    {
        lost->second.with_room = {};
    }
}

void crash_ledger::on_takeover(time_point now)
{
    ++result_.takeovers;
    took_over_at_ = now;
    for (auto& [task, lost] : lost_lasting_)
    {
        lost.with_room = -recovery_left(now);
    }
}

void crash_ledger::on_shown_state(const job_id& id, job_state state,
                                  time_point now)
{
    auto& owner = jobs_.at(id);
    if (owner.is_over || !is_final(state))
    {
        return;
    }
    owner.is_over = true;
    std::erase_if(lost_lasting_,
                  [&](const auto& lost) { return lost.first.job == id; });
    if (state == job_state::failed)
    {
        check_failed(id, owner, now);
        return;
    }
    check_completed(id, owner, now);
}

void crash_ledger::check_completed(const job_id& id, const recorded_job& owner,
                                   time_point now)
{
    const bool is_sound = owner.crashing.empty();
    result_.sound_jobs_completed += is_sound && !owner.is_lasting ? 1 : 0;
    if (!is_sound || owner.is_lasting)
    {
        record(crash_check::wrong_give_up,
               id.value() + " is shown as completed", now);
    }
    if (!owner.not_done.empty())
    {
        record(crash_check::completed_early,
               id.value() + " is shown as completed while " +
                   to_text(*owner.not_done.begin()) + " has not ended as done",
               now);
    }
}

void crash_ledger::check_failed(const job_id& id, const recorded_job& owner,
                                time_point now)
{
    if (owner.crashing.empty())
    {
        ++result_.given_up_wrongly;
        record(crash_check::wrong_give_up,
               id.value() + " is given up without a crashing task", now);
        return;
    }
    ++result_.given_up_rightly;
    result_.longest_until_given_up =
        std::max(result_.longest_until_given_up,
                 now - owner.first_start_at.value_or(now));
    result_.longest_since_second_crash =
        std::max(result_.longest_since_second_crash,
                 now - owner.second_crash_at.value_or(now));
}

void crash_ledger::check_give_up_time(const job_id& id, recorded_job& owner,
                                      time_point now)
{
    if (owner.is_over || !owner.second_crash_at || owner.is_late)
    {
        return;
    }
    const auto since = std::max(*owner.second_crash_at, took_over_at_);
    if (now - since > limits_.give_up_time)
    {
        owner.is_late = true;
        record(crash_check::late_give_up,
               id.value() + " is not given up " +
                   seconds_text(now - *owner.second_crash_at) +
                   " after the second crash by one of its tasks",
               now);
    }
}

void crash_ledger::check_times(time_point now)
{
    for (auto& [id, owner] : jobs_)
    {
        check_give_up_time(id, owner, now);
    }
}

std::vector<task_key> crash_ledger::lasting_without_run() const
{
    std::vector<task_key> out;
    std::ranges::transform(lost_lasting_, std::back_inserter(out),
                           [](const auto& lost) { return lost.first; });
    return out;
}

void crash_ledger::add_time_with_room(const task_key& task, duration passed,
                                      time_point now)
{
    auto& lost = lost_lasting_.at(task);
    lost.with_room += passed;
    result_.longest_away_with_room =
        std::max(result_.longest_away_with_room, lost.with_room);
    if (!lost.is_late && lost.with_room > limits_.lasting_restart_time)
    {
        lost.is_late = true;
        record(crash_check::lasting_task_away,
               to_text(task) + " does not run for " +
                   seconds_text(lost.with_room) + " although there is room",
               now);
    }
}

void crash_ledger::close(time_point now)
{
    check_times(now);
    for (const auto& [id, owner] : jobs_)
    {
        if (owner.is_over)
        {
            continue;
        }
        const bool is_sound = owner.crashing.empty();
        if (is_sound && !owner.is_lasting &&
            now - owner.submitted_at > limits_.sound_job_time)
        {
            record(crash_check::unfinished_job,
                   id.value() + " is sound and not completed", now);
        }
        if (!is_sound &&
            now - owner.first_start_at.value_or(owner.submitted_at) >
                limits_.crashing_job_time)
        {
            record(crash_check::late_give_up,
                   id.value() + " has a crashing task and is not given up",
                   now);
        }
    }
}

} // namespace hemlockdeal::emulation
