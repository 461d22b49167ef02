// How long the store takes to answer, and with it how long to wait for it.
#pragma once

#include <algorithm>
#include <chrono>

#include "core/core.hpp"

namespace hemlockdeal::node
{

class response_time
{
public:
    void on_answer(duration took)
    {
        recent_ = std::max(took, (recent_ * 3 + took) / 4);
    }
    // The store may be slower than was known.
    void on_no_answer() { recent_ += step_after_silence; }

    // After this time without an answer the connection is given up: it may
    // have gone silent, and a leader that waits on it loses the lead.
    duration patience() const
    {
        return std::min(longest_patience, shortest_patience + recent_ * 4);
    }

private:
    static constexpr duration shortest_patience =
        std::chrono::milliseconds(600);
    static constexpr duration longest_patience =
        std::chrono::milliseconds(2000);
    static constexpr duration step_after_silence =
        std::chrono::milliseconds(150);

    duration recent_{};
};

} // namespace hemlockdeal::node
