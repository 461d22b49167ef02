// Decides when a call without a complete response is given up: by the progress
// of the response, and not by its size.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>

#include "core/time.hpp"

namespace hemlockdeal
{

// A response that has begun must go on at this rate at least. The rate is far
// below any share of a link at which thousands of VMs receive at once; a
// connection that is slower counts as one that delivers nothing.
struct progress_limits
{
    duration interval = std::chrono::seconds(1);
    // Bytes in each interval.
    std::size_t bytes = 1024;
};

// Invariant: the time of expiry only moves later.
class response_deadline
{
public:
    // The response must begin within the timeout.
    response_deadline(time_point sent_at, duration timeout,
                      progress_limits limits = {})
        : sent_at_(sent_at), expires_at_(sent_at + timeout), limits_(limits)
    {}

    void on_received(std::size_t bytes, time_point now)
    {
        if (bytes == 0)
        {
            return;
        }
        received_ += bytes;
        if (begun_at_ && received_ - counted_ < limits_.bytes)
        {
            return;
        }
        begun_at_ = begun_at_.value_or(now);
        counted_ = received_;
        expires_at_ = std::max(expires_at_, now + limits_.interval);
    }

    bool has_expired(time_point now) const { return expires_at_ <= now; }
    time_point expires_at() const { return expires_at_; }
    time_point sent_at() const { return sent_at_; }
    // When the first byte arrived.
    std::optional<time_point> begun_at() const { return begun_at_; }
    std::size_t received() const { return received_; }

private:
    time_point sent_at_;
    time_point expires_at_;
    progress_limits limits_;
    std::optional<time_point> begun_at_;
    std::size_t received_ = 0;
    // Bytes received when the expiry was last moved.
    std::size_t counted_ = 0;
};

} // namespace hemlockdeal
