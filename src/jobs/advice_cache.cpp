// Cache of responses of the advice service.
#include "jobs/advice_cache.hpp"

#include <algorithm>

namespace hemlockdeal::jobs
{

namespace
{

// The service needs time for each worker in a request.
constexpr std::size_t max_workers_per_request = 30;
constexpr duration retry_delay = std::chrono::milliseconds(150);
// A ticket that expires within this time is not used any more.
constexpr duration ticket_margin = std::chrono::milliseconds(400);

} // namespace

std::string to_text(const step_key& key)
{
    return key.job.value() + '.' + std::to_string(key.occurrence) + '.' +
           std::to_string(key.step);
}

std::optional<std::string> advice_cache::ticket(const step_key& step,
                                                const worker_id& worker,
                                                time_point now) const
{
    const auto known = steps_.find(step);
    if (known == steps_.end())
    {
        return std::nullopt;
    }
    const auto found = known->second.decisions.find(worker);
    const bool is_valid = found != known->second.decisions.end() &&
                          !found->second.ticket.empty() &&
                          found->second.expires > now + ticket_margin;
    return is_valid ? std::optional(found->second.ticket) : std::nullopt;
}

std::optional<advice_request> advice_cache::next_request(
    const step_key& step, const std::vector<worker_id>& workers, time_point now)
{
    auto& known = steps_[step];
    if (known.is_request_pending || known.next_request_at > now)
    {
        return std::nullopt;
    }
    advice_request request{step, {}};
    for (const auto& worker : workers)
    {
        const auto found = known.decisions.find(worker);
        const bool is_request_due =
            found == known.decisions.end() ||
            (!found->second.ticket.empty() &&
             found->second.expires <= now + ticket_margin);
        if (is_request_due && request.workers.size() < max_workers_per_request)
        {
            request.workers.push_back(worker);
        }
    }
    if (request.workers.empty())
    {
        return std::nullopt;
    }
    known.is_request_pending = true;
    return request;
}

void advice_cache::on_answer(const advice_request& asked,
                             const advice_answer& answer, time_point now)
{
    const auto known = steps_.find(asked.step);
    if (known == steps_.end())
    {
        return;
    }
    known->second.is_request_pending = false;
    for (const auto& worker : asked.workers)
    {
        known->second.decisions[worker] = {};
    }
    for (const auto& [worker, ticket] : answer.good)
    {
        known->second.decisions[worker] = {ticket, now + answer.valid_for};
    }
}

void advice_cache::on_failure(const advice_request& asked, time_point now)
{
    const auto known = steps_.find(asked.step);
    if (known != steps_.end())
    {
        known->second.is_request_pending = false;
        known->second.next_request_at = now + retry_delay;
    }
}

void advice_cache::forget_worker(const worker_id& worker)
{
    for (auto& [step, known] : steps_)
    {
        known.decisions.erase(worker);
    }
}

void advice_cache::forget_job(const job_id& job)
{
    std::erase_if(steps_,
                  [&](const auto& entry) { return entry.first.job == job; });
}

} // namespace hemlockdeal::jobs
