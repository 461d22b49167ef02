// Priority queue of wake-up times of requests. A request may have several
// entries; the caller skips obsolete ones.
#pragma once

#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "core/core.hpp"

namespace hemlockdeal
{

class wakeup_queue
{
public:
    void push(time_point at, request_id request)
    {
        heap_.emplace(at, request.value());
    }

    // Removes and returns the earliest entry if it is due.
    std::optional<std::pair<time_point, request_id>> pop_due(time_point now)
    {
        if (heap_.empty() || heap_.top().first > now)
        {
            return std::nullopt;
        }
        const auto [at, request] = heap_.top();
        heap_.pop();
        return std::pair(at, request_id(request));
    }

    std::optional<time_point> next() const
    {
        if (heap_.empty())
        {
            return std::nullopt;
        }
        return heap_.top().first;
    }

private:
    using entry = std::pair<time_point, std::uint64_t>;
    std::priority_queue<entry, std::vector<entry>, std::greater<>> heap_;
};

} // namespace hemlockdeal
