// Bounds on evictions in any minute.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "batch/policy_options.hpp"
#include "core/time.hpp"

namespace hemlockdeal
{

enum class eviction_cause
{
    interference,
    quota,
    urgent
};

// At most two evictions a worker, and 5% of the shard's tasks (at least one),
// in any minute. Reclaiming a quota may use half of the 5%, so that the other
// half stays for interference. Evictions for urgent work count, but are not
// refused, because urgent work must start within a second.
class eviction_budget
{
public:
    explicit eviction_budget(const policy_options& options);

    // Forgets evictions that are older than a minute.
    void advance(time_point now);
    bool allows(eviction_cause cause, std::uint64_t worker, std::size_t count,
                std::size_t running_tasks) const;
    void record(std::uint64_t worker, time_point now);
    std::size_t of_worker(std::uint64_t worker) const;
    // What may still be evicted from the worker.
    std::size_t left_on(std::uint64_t worker) const;

private:
    struct eviction
    {
        time_point at;
        std::uint64_t worker = 0;
    };

    std::size_t per_worker_;
    double share_;
    bool enforced_;
    std::deque<eviction> recent_;
};

} // namespace hemlockdeal
