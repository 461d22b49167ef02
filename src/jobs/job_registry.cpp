// Registry of jobs.
#include "jobs/job_registry.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

#include "jobs/job_memory.hpp"

namespace hemlockdeal::jobs
{

namespace
{

ended_job make_ended(const job& definition)
{
    ended_job out;
    out.account = definition.account->id;
    std::ranges::transform(definition.steps, std::back_inserter(out.step_sizes),
                           &step::size);
    return out;
}

bool has_task(const job& definition, const job_progress::task_position& p)
{
    return p.occurrence < definition.repeats_count() &&
           p.step < definition.steps.size() &&
           p.index < definition.steps[p.step].task_count;
}

} // namespace

std::uint32_t history_row_of(const job& owner,
                             const job_progress::task_position& position)
{
    return static_cast<std::uint32_t>(
        number_of(owner, position.occurrence, position.step, position.index) /
        tasks_per_history_row);
}

bool job_registry::add(job definition,
                       const std::optional<job_progress>& progress)
{
    if (is_known(definition.id))
    {
        return false;
    }
    const auto id = definition.id;
    if (progress && !progress->history_rows.empty())
    {
        for (const auto number : progress->history_rows)
        {
            taken_histories_[id][number].reset();
        }
    }
    if (progress && is_final(progress->state))
    {
        over_[id] = progress->state;
        if (definition.account && !progress->ending.empty())
        {
            auto& ended = ended_[id] = make_ended(definition);
            ended.at = progress->ended_at;
            std::ranges::copy_if(progress->ending,
                                 std::back_inserter(ended.ending),
                                 [&](const auto& position) {
                                     return has_task(definition, position);
                                 });
        }
        if (!progress->history_rows.empty())
        {
            mark_changed(id);
        }
        return true;
    }
    auto created = std::make_unique<live_job>(std::move(definition));
    if (progress)
    {
        created->restore(*progress);
    }
    live_.emplace(id, std::move(created));
    return true;
}

const live_job* job_registry::find(const job_id& id) const
{
    const auto found = live_.find(id);
    return found == live_.end() ? nullptr : found->second.get();
}

live_job* job_registry::find(const job_id& id)
{
    const auto found = live_.find(id);
    return found == live_.end() ? nullptr : found->second.get();
}

bool job_registry::is_known(const job_id& id) const
{
    return live_.contains(id) || over_.contains(id);
}

void job_registry::finish(const job_id& id, job_state state,
                          std::optional<store_time> at,
                          const std::set<task_key>& withdrawn)
{
    const auto* const owner = find(id);
    if (owner != nullptr && owner->definition().account)
    {
        auto& ended = ended_[id] = make_ended(owner->definition());
        ended.ending = owner->unfinished_runs();
        for (const auto& key : withdrawn)
        {
            const job_progress::task_position position{key.occurrence, key.step,
                                                       key.index};
            if (std::ranges::find(ended.ending, position) == ended.ending.end())
            {
                ended.ending.push_back(position);
            }
        }
        ended.at = at;
    }
    live_.erase(id);
    over_[id] = state;
    changed_.insert(id);
}

void job_registry::forget_ended(time_point now, duration age)
{
    for (auto& [id, ended] : ended_)
    {
        ended.noticed_at = ended.noticed_at.value_or(now);
    }
    std::erase_if(ended_, [&](const auto& known) {
        // The row with the runs may not be stored yet.
        return now - *known.second.noticed_at >= age &&
               !changed_.contains(known.first);
    });
}

std::optional<account_run> job_registry::adopt_ended(const task_key& key)
{
    const auto found = ended_.find(key.job);
    if (found == ended_.end() || key.step >= found->second.step_sizes.size())
    {
        return std::nullopt;
    }
    std::erase(found->second.ending, job_progress::task_position{
                                         key.occurrence, key.step, key.index});
    return account_run{found->second.account,
                       found->second.step_sizes[key.step]};
}

job_changes job_registry::take_changes(change_limits limits,
                                       std::uint64_t number)
{
    job_changes out;
    std::size_t bytes = 0;
    while (!changed_.empty() && out.rows() < limits.max_rows &&
           bytes < limits.bytes)
    {
        const auto id = *changed_.begin();
        job_progress progress;
        if (auto* const found = find(id))
        {
            progress = found->progress();
            if (!take_history_rows(*found, progress, limits, out))
            {
                return out;
            }
            found->set_collected(number);
        }
        else if (const auto over = over_.find(id); over != over_.end())
        {
            progress.state = over->second;
            if (const auto ended = ended_.find(id); ended != ended_.end())
            {
                progress.ending = ended->second.ending;
                progress.ended_at = ended->second.at;
            }
            remove_history_rows(id, out);
        }
        else
        {
            changed_.erase(id);
            continue;
        }
        changed_.erase(id);
        out.progress.emplace_back(id, encode_progress(progress, limits.row));
        bytes += out.progress.back().second.size();
    }
    return out;
}

bool job_registry::take_history_rows(const live_job& owner,
                                     job_progress& progress,
                                     const change_limits& limits,
                                     job_changes& out)
{
    const auto& definition = owner.definition();
    if (count_tasks(definition) <= tasks_per_history_row)
    {
        return true;
    }
    std::map<std::uint32_t, job_progress::history_map> rows;
    for (auto& [position, history] : std::exchange(progress.histories, {}))
    {
        rows[history_row_of(definition, position)].emplace(position,
                                                           std::move(history));
    }
    auto& taken = taken_histories_[definition.id];
    // Rows whose last history is gone.
    for (auto row = taken.begin(); row != taken.end();)
    {
        if (rows.contains(row->first))
        {
            ++row;
            continue;
        }
        out.histories.push_back({definition.id, row->first, std::nullopt});
        row = taken.erase(row);
    }
    std::size_t bytes = 0;
    for (auto& [number, histories] : rows)
    {
        auto& last = taken[number];
        if (last == histories)
        {
            continue;
        }
        if (out.rows() >= limits.max_rows || bytes >= limits.bytes)
        {
            return false;
        }
        out.histories.push_back(
            {definition.id, number, encode_histories(histories, limits.row)});
        bytes += out.histories.back().text->size();
        last = std::move(histories);
    }
    return true;
}

void job_registry::remove_history_rows(const job_id& id, job_changes& out)
{
    const auto taken = taken_histories_.find(id);
    if (taken == taken_histories_.end())
    {
        return;
    }
    for (const auto& [number, histories] : taken->second)
    {
        out.histories.push_back({id, number, std::nullopt});
    }
    taken_histories_.erase(taken);
}

std::size_t job_registry::memory() const
{
    return std::accumulate(live_.begin(), live_.end(), std::size_t{0},
                           [](std::size_t sum, const auto& entry) {
                               return sum + memory_of(*entry.second);
                           });
}

std::map<account_id, std::size_t> job_registry::memory_by_account() const
{
    std::map<account_id, std::size_t> out;
    for (const auto& [id, owner] : live_)
    {
        if (const auto& account = owner->definition().account)
        {
            out[account->id] += memory_of(*owner);
        }
    }
    return out;
}

std::map<std::string, std::size_t> job_registry::pending() const
{
    std::map<std::string, std::size_t> counts;
    for (const auto& [id, j] : live_)
    {
        const auto& definition = j->definition();
        if (!j->has_started() && definition.repeats.count == 0)
        {
            ++counts[definition.policy.queue];
        }
    }
    return counts;
}

} // namespace hemlockdeal::jobs
