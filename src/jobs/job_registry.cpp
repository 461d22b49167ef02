// Registry of jobs.
#include "jobs/job_registry.hpp"

#include <utility>

namespace hemlockdeal::jobs
{

bool job_registry::add(job definition,
                       const std::optional<job_progress>& progress)
{
    if (is_known(definition.id))
    {
        return false;
    }
    const auto id = definition.id;
    if (progress && is_final(progress->state))
    {
        over_[id] = progress->state;
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

live_job* job_registry::find(const job_id& id)
{
    const auto found = live_.find(id);
    return found == live_.end() ? nullptr : found->second.get();
}

bool job_registry::is_known(const job_id& id) const
{
    return live_.contains(id) || over_.contains(id);
}

void job_registry::finish(const job_id& id, job_state state)
{
    live_.erase(id);
    over_[id] = state;
    changed_.insert(id);
}

std::vector<std::pair<job_id, std::string>>
job_registry::take_changes(change_limits limits, std::uint64_t number)
{
    std::vector<std::pair<job_id, std::string>> out;
    std::size_t bytes = 0;
    while (!changed_.empty() && out.size() < limits.max_jobs &&
           bytes < limits.bytes)
    {
        const auto id = *changed_.begin();
        changed_.erase(changed_.begin());
        job_progress progress;
        if (auto* const found = find(id))
        {
            progress = found->collect_progress(number);
        }
        else if (const auto over = over_.find(id); over != over_.end())
        {
            progress.state = over->second;
        }
        else
        {
            continue;
        }
        out.emplace_back(id, encode_progress(progress, limits.row));
        bytes += out.back().second.size();
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
