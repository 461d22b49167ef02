// Tells bad workers from bad jobs and sets bad workers aside.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

#include "batch/policy_options.hpp"
#include "core/time.hpp"

namespace hemlockdeal
{

// Workers and jobs are given by the stable hashes of their ids.
class worker_health
{
public:
    explicit worker_health(const policy_options& options);

    void add_failure(std::uint64_t worker, std::uint64_t job, time_point now);
    // `ran_for` tells successes of tasks that started before the quarantine
    // from those of probes.
    void add_success(std::uint64_t worker, std::uint64_t job, duration ran_for,
                     time_point now);
    // The workers of the shard, which the bound refers to.
    void set_workers(std::span<const std::uint64_t> workers, time_point now);

    bool is_quarantined(std::uint64_t worker) const;
    std::size_t quarantined() const;
    bool is_probe_due(std::uint64_t worker, time_point now) const;
    void add_probe(std::uint64_t worker, time_point now);
    // Failures since the last success, whoever is to blame.
    std::uint32_t failures_in_row(std::uint64_t worker) const;

private:
    // A failure of a job that succeeded elsewhere.
    struct blame
    {
        std::uint64_t job = 0;
        time_point at;
    };

    struct worker_record
    {
        std::vector<blame> blames; // one per job
        std::uint32_t failures_in_row = 0;
        bool quarantined = false;
        time_point since;
        time_point last_probe;
    };

    // Lists of a few distinct workers.
    struct job_record
    {
        std::vector<std::uint64_t> failed_on;
        std::vector<std::uint64_t> succeeded_on;
    };

    job_record& record_of_job(std::uint64_t job);
    bool is_to_blame(std::uint64_t worker, const job_record& job) const;
    void add_blame(std::uint64_t worker, std::uint64_t job, time_point now);
    void consider(std::uint64_t worker, worker_record& record, time_point now);
    std::size_t quarantined_at_most() const;

    // Bound the state; the oldest goes.
    static constexpr std::size_t jobs_at_most = 1024;
    static constexpr std::size_t blames_at_most = 8;

    policy_options options_;
    std::size_t workers_in_shard_ = 0;
    std::unordered_map<std::uint64_t, worker_record> workers_;
    std::unordered_map<std::uint64_t, job_record> jobs_;
    std::deque<std::uint64_t> jobs_by_age_;
};

} // namespace hemlockdeal
