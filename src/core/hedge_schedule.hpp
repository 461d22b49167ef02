// Decides when an idempotent call that has no answer is sent again on another
// connection.
#pragma once

#include <algorithm>

#include "core/time.hpp"

namespace hemlockdeal
{

struct hedge_limits
{
    // How long an answer may be overdue until the call is sent again.
    duration first_after = std::chrono::milliseconds(400);
    // The repeated call is replaced by another one; the time between two of
    // them doubles up to this.
    duration max_interval = std::chrono::milliseconds(800);
    // How long an answer may be overdue until the call fails.
    duration give_up_after = std::chrono::milliseconds(2000);
};

// The first attempt stays until the call fails, since the store may only be
// slow. Of the repeated ones only the newest stays: an earlier one was sent
// when the path may still have been interrupted.
class hedge_schedule
{
public:
    // `due_at` is when the server answers at the latest if all is well.
    hedge_schedule(time_point due_at, hedge_limits limits)
        : limits_(limits), fails_at_(due_at + limits.give_up_after),
          next_at_(due_at + limits.first_after), interval_(limits.first_after)
    {}

    // True if the call is to be sent again now.
    bool take_attempt(time_point now)
    {
        if (now < next_at_)
        {
            return false;
        }
        next_at_ = now + interval_;
        interval_ = std::min(interval_ * 2, limits_.max_interval);
        return true;
    }

    bool has_failed(time_point now) const { return now >= fails_at_; }

private:
    hedge_limits limits_;
    time_point fails_at_;
    time_point next_at_;
    duration interval_;
};

} // namespace hemlockdeal
