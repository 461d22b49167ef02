// Implements the book of jobs.
#include "jobs/job_book.hpp"

#include <utility>

namespace hemlockdeal::jobs
{

bool job_book::add(job definition, const std::optional<job_progress>& progress)
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
    auto made = std::make_unique<live_job>(std::move(definition));
    if (progress)
    {
        made->restore(*progress);
    }
    live_.emplace(id, std::move(made));
    return true;
}

live_job* job_book::find(const job_id& id)
{
    const auto found = live_.find(id);
    return found == live_.end() ? nullptr : found->second.get();
}

bool job_book::is_known(const job_id& id) const
{
    return live_.contains(id) || over_.contains(id);
}

void job_book::finish(const job_id& id, job_state state)
{
    live_.erase(id);
    over_[id] = state;
    changed_.insert(id);
}

std::vector<std::pair<job_id, std::string>>
job_book::take_changes(std::size_t most)
{
    std::vector<std::pair<job_id, std::string>> out;
    while (!changed_.empty() && out.size() < most)
    {
        const auto id = *changed_.begin();
        changed_.erase(changed_.begin());
        if (const auto* const found = find(id))
        {
            out.emplace_back(id, encode_progress(found->progress()));
            continue;
        }
        if (const auto over = over_.find(id); over != over_.end())
        {
            job_progress progress;
            progress.state = over->second;
            out.emplace_back(id, encode_progress(progress));
        }
    }
    return out;
}

std::map<std::string, std::size_t> job_book::pending() const
{
    std::map<std::string, std::size_t> counts;
    for (const auto& [id, j] : live_)
    {
        const auto& definition = j->definition();
        if (!j->has_started() && definition.repeats.count == 0)
        {
            ++counts[definition.terms.queue];
        }
    }
    return counts;
}

} // namespace hemlockdeal::jobs
