// How long the response to a poll may be overdue before the poll is given up.
#pragma once

#include <algorithm>
#include <chrono>

#include "core/core.hpp"

namespace hemlockdeal::node
{

// A margin that never grew would never let a response through on a path whose
// delay exceeds it: the worker would count as silent while it answers each
// poll, and its tasks would be started again elsewhere.
class poll_margin
{
public:
    duration value() const { return value_; }

    // `overdue` is the time from the end of the poll's wait to its response. A
    // response that came before that end says little about the path, so that
    // the margin falls slowly.
    void on_response(duration overdue)
    {
        value_ = std::clamp(std::max(overdue * 2, value_ * 3 / 4), min_margin,
                            max_margin);
    }
    void on_no_response() { value_ = std::min(value_ * 2, max_margin); }

private:
    static constexpr duration min_margin = std::chrono::milliseconds(400);
    // A poll sent just before a worker is back delays its return by this.
    static constexpr duration max_margin = std::chrono::milliseconds(1200);

    duration value_ = min_margin;
};

} // namespace hemlockdeal::node
