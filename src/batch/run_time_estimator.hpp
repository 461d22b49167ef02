// Learns run times and used resources of tasks per class and team.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "batch/online_quantile.hpp"
#include "core/operator_message.hpp"
#include "core/resources.hpp"
#include "core/time.hpp"

namespace hemlockdeal
{

struct task_estimate
{
    duration run_time{};
    resources used;
};

// Declared values count only until samples arrive: their weight falls with
// the square of the number of samples, since they are wrong by up to ten times
// in both directions.
class run_time_estimator
{
public:
    // `total` is the run time of the whole task, not of one attempt.
    void add_run_time(const job_submission& job, duration total);
    void add_use(const job_submission& job, const resources& peak);

    task_estimate estimate(const job_submission& job) const;

    std::size_t cells() const { return cells_.size(); }

private:
    struct cell
    {
        // High quantiles, because a late start costs a target and an
        // overloaded worker slows its neighbours down.
        online_quantile run_time{0.75F};
        online_quantile processors{0.9F};
        online_quantile memory{0.9F};
        std::uint64_t updated = 0;
    };

    static std::uint64_t key_of_class(const job_submission& job);
    static std::uint64_t key_of_team(const job_submission& job);
    cell& find_or_add(std::uint64_t key);
    const cell* find(std::uint64_t key) const;

    // Bounds the state; the cell that was updated least recently goes.
    static constexpr std::size_t cells_at_most = 2048;

    std::unordered_map<std::uint64_t, cell> cells_;
    std::uint64_t updates_ = 0;
};

} // namespace hemlockdeal
