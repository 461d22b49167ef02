// Divides the time within which a declaration must be in force on every VM.
#pragma once

#include <algorithm>

#include "core/core.hpp"

namespace hemlockdeal::node
{

// Noticing a change takes at most 40 % of the time, also if the call that would
// have shown it is lost: the wait of a feed call, and the time until the call
// is sent again on another connection. 45 % are left for the transfer and 15 %
// for decoding and adopting it.
class declaration_budget
{
public:
    explicit declaration_budget(duration apply_within)
        : apply_within_(apply_within)
    {}

    duration apply_within() const { return apply_within_; }

    // Time for which a feed call may be held back.
    duration feed_wait() const
    {
        return std::max(apply_within_ * 3 / 10, min_wait);
    }

    hedge_limits hedging() const
    {
        return {apply_within_ / 10, apply_within_ / 5, apply_within_ / 2};
    }

    // A response that has begun and delivers nothing is given up in time for a
    // second one.
    progress_limits progress() const
    {
        progress_limits limits;
        limits.interval = apply_within_ / 4;
        return limits;
    }

private:
    // Bounds the number of calls, each of which is billed.
    static constexpr duration min_wait = std::chrono::milliseconds(300);

    duration apply_within_;
};

} // namespace hemlockdeal::node
