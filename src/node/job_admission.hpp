// Decides whether the leader has memory for a further job.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>

#include "core/core.hpp"

namespace hemlockdeal::node
{

// What is known of the memory of an account's jobs.
struct account_memory
{
    account_id account;
    // As the leader has published it; zero if the account is below its share.
    std::size_t published_bytes = 0;
    // Weight of the account in proportion to the weights of all accounts.
    double share = 1.0;
};

enum class admission_result
{
    admitted,
    no_memory,
    // The account's jobs take more than its share while memory is short.
    no_account_memory
};

// The leader publishes how much memory the accepted jobs take. What this VM has
// accepted is added until the published figure contains it.
class job_admission
{
public:
    explicit job_admission(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    // Whether a job of this size fits beside those that take `published_bytes`.
    // One account must not take the memory that the jobs of the others need.
    admission_result admit(std::size_t bytes, std::size_t published_bytes,
                           const account_memory& owner, time_point now)
    {
        forget_published(now);
        std::size_t recent_bytes = 0;
        std::size_t recent_bytes_of_owner = 0;
        for (const auto& recent : recent_)
        {
            recent_bytes += recent.bytes;
            recent_bytes_of_owner +=
                recent.account == owner.account ? recent.bytes : 0;
        }
        const auto total = published_bytes + recent_bytes + bytes;
        if (total > max_bytes_)
        {
            return admission_result::no_memory;
        }
        const auto total_of_owner =
            owner.published_bytes + recent_bytes_of_owner + bytes;
        const auto share = static_cast<double>(max_bytes_) * owner.share;
        const bool is_short = total > max_bytes_ / 2;
        return is_short && !owner.account.empty() &&
                       static_cast<double>(total_of_owner) > share
                   ? admission_result::no_account_memory
                   : admission_result::admitted;
    }

    // The job is sent to the store.
    void add(std::size_t bytes, const account_id& account, time_point now)
    {
        recent_.push_back({now, bytes, account});
    }

private:
    struct recent_job
    {
        time_point sent_at;
        std::size_t bytes = 0;
        account_id account;
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
