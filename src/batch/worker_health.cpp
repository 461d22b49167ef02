// A failure is blamed on a worker only when the job succeeded on another one
// and is not itself bad.
#include "batch/worker_health.hpp"

#include <algorithm>

namespace hemlockdeal
{

namespace
{

constexpr std::size_t workers_of_job_at_most = 8;

void add_distinct(std::vector<std::uint64_t>& list, std::uint64_t value)
{
    if (list.size() < workers_of_job_at_most &&
        std::ranges::find(list, value) == list.end())
    {
        list.push_back(value);
    }
}

} // namespace

worker_health::worker_health(const policy_options& options) : options_(options)
{}

void worker_health::add_failure(std::uint64_t worker, std::uint64_t job,
                                time_point now)
{
    job_record& record = record_of_job(job);
    add_distinct(record.failed_on, worker);
    ++workers_[worker].failures_in_row;
    if (is_to_blame(worker, record))
    {
        add_blame(worker, job, now);
    }
}

void worker_health::add_success(std::uint64_t worker, std::uint64_t job,
                                duration ran_for, time_point now)
{
    job_record& succeeded = record_of_job(job);
    add_distinct(succeeded.succeeded_on, worker);
    const auto own = workers_.find(worker);
    if (own != workers_.end())
    {
        worker_record& record = own->second;
        record.failures_in_row = 0;
        if (record.quarantined && ran_for <= now - record.since)
        {
            record = worker_record();
        }
        else if (!record.quarantined && !record.blames.empty())
        {
            record.blames.erase(record.blames.begin());
        }
    }
    for (const std::uint64_t other : succeeded.failed_on)
    {
        if (is_to_blame(other, succeeded))
        {
            add_blame(other, job, now);
        }
    }
}

void worker_health::set_workers(std::span<const std::uint64_t> workers,
                                time_point now)
{
    workers_in_shard_ = workers.size();
    std::erase_if(workers_, [&](const auto& entry) {
        return std::ranges::find(workers, entry.first) == workers.end();
    });
    // Quarantined workers may be too many after others have left.
    while (options_.safeguards.bound_quarantine &&
           quarantined() > quarantined_at_most())
    {
        const auto longest =
            std::ranges::min_element(workers_, {}, [](const auto& entry) {
                return std::pair(!entry.second.quarantined,
                                 std::pair(entry.second.since, entry.first));
            });
        longest->second = worker_record();
    }
    for (auto& [worker, record] : workers_)
    {
        consider(worker, record, now);
    }
}

bool worker_health::is_quarantined(std::uint64_t worker) const
{
    const auto found = workers_.find(worker);
    return found != workers_.end() && found->second.quarantined;
}

std::size_t worker_health::quarantined() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        workers_, [](const auto& entry) { return entry.second.quarantined; }));
}

bool worker_health::is_probe_due(std::uint64_t worker, time_point now) const
{
    const auto found = workers_.find(worker);
    return found != workers_.end() && found->second.quarantined &&
           found->second.last_probe + options_.probe_interval <= now;
}

void worker_health::add_probe(std::uint64_t worker, time_point now)
{
    workers_[worker].last_probe = now;
}

std::uint32_t worker_health::failures_in_row(std::uint64_t worker) const
{
    const auto found = workers_.find(worker);
    return found == workers_.end() ? 0 : found->second.failures_in_row;
}

worker_health::job_record& worker_health::record_of_job(std::uint64_t job)
{
    if (!jobs_.contains(job))
    {
        if (jobs_by_age_.size() == jobs_at_most)
        {
            jobs_.erase(jobs_by_age_.front());
            jobs_by_age_.pop_front();
        }
        jobs_by_age_.push_back(job);
    }
    return jobs_[job];
}

bool worker_health::is_to_blame(std::uint64_t worker,
                                const job_record& job) const
{
    if (!options_.safeguards.exonerate_workers)
    {
        return true;
    }
    // A job of many tasks fails on all bad workers, so it counts as bad only
    // when it did not succeed on more workers than it failed on.
    const bool bad_job = job.failed_on.size() >= options_.workers_for_bad_job &&
                         job.succeeded_on.size() <= job.failed_on.size();
    return !bad_job &&
           std::ranges::any_of(job.succeeded_on, [&](std::uint64_t other) {
               return other != worker;
           });
}

void worker_health::add_blame(std::uint64_t worker, std::uint64_t job,
                              time_point now)
{
    worker_record& record = workers_[worker];
    if (record.quarantined)
    {
        return;
    }
    std::erase_if(record.blames, [&](const blame& b) { return b.job == job; });
    if (record.blames.size() == blames_at_most)
    {
        record.blames.erase(record.blames.begin());
    }
    record.blames.push_back({job, now});
    consider(worker, record, now);
}

void worker_health::consider(std::uint64_t worker, worker_record& record,
                             time_point now)
{
    if (record.quarantined || record.blames.empty())
    {
        return;
    }
    // A job may have turned out to be bad since.
    std::erase_if(record.blames, [&](const blame& b) {
        const auto job = jobs_.find(b.job);
        return b.at + options_.failure_memory < now ||
               (job != jobs_.end() && !is_to_blame(worker, job->second));
    });
    if (record.blames.size() >= options_.failed_jobs_for_quarantine &&
        (!options_.safeguards.bound_quarantine ||
         quarantined() < quarantined_at_most()))
    {
        record.quarantined = true;
        record.since = now;
        record.last_probe = now;
    }
}

std::size_t worker_health::quarantined_at_most() const
{
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(options_.quarantined_share *
                                    static_cast<double>(workers_in_shard_)));
}

} // namespace hemlockdeal
