// Estimates the store's response time and derives the timeout of calls from it.
#pragma once

#include <algorithm>
#include <chrono>

#include "core/core.hpp"

namespace hemlockdeal::node
{

class response_time
{
public:
    void on_response(duration took)
    {
        recent_ = std::max(took, (recent_ * 3 + took) / 4);
    }
    // The store may be slower than estimated.
    void on_no_response() { recent_ += increase_after_no_response; }

    // A call without a response after this time is abandoned: the connection
    // may be dead, and a leader that keeps waiting for it loses its lease.
    duration timeout() const
    {
        return std::min(max_timeout, min_timeout + recent_ * 4);
    }

private:
    static constexpr duration min_timeout = std::chrono::milliseconds(600);
    static constexpr duration max_timeout = std::chrono::milliseconds(2000);
    static constexpr duration increase_after_no_response =
        std::chrono::milliseconds(150);

    duration recent_{};
};

} // namespace hemlockdeal::node
