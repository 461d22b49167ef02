// Decides whether the leader has memory for a further job.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <numeric>

#include "core/core.hpp"

namespace hemlockdeal::node
{

// The leader publishes how much memory the accepted jobs take. What this VM has
// accepted is added until the published figure contains it.
class job_admission
{
public:
    explicit job_admission(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    // True if a job of this size fits beside those that take `published_bytes`.
    bool admits(std::size_t bytes, std::size_t published_bytes, time_point now)
    {
        forget_published(now);
        const auto recent_bytes = std::accumulate(
            recent_.begin(), recent_.end(), std::size_t{0},
            [](std::size_t sum, const recent_job& r) { return sum + r.bytes; });
        return published_bytes + recent_bytes + bytes <= max_bytes_;
    }

    // The job is sent to the store.
    void add(std::size_t bytes, time_point now)
    {
        recent_.push_back({now, bytes});
    }

private:
    struct recent_job
    {
        time_point sent_at;
        std::size_t bytes = 0;
    };

    // Until the store has answered, the leader has read the job and written its
    // lease, and this VM has read the lease.
    static constexpr duration publication_delay = std::chrono::seconds(2);

    void forget_published(time_point now)
    {
        while (!recent_.empty() &&
               now - recent_.front().sent_at > publication_delay)
        {
            recent_.pop_front();
        }
    }

    std::size_t max_bytes_;
    std::deque<recent_job> recent_; // oldest first
};

} // namespace hemlockdeal::node
