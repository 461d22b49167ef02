// Calls that are due at given times of a simulation.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>

#include "core/core.hpp"

namespace hemlockdeal::emulation
{

// Makes calls in the order of their times; calls of one time in the order in
// which they were added.
class event_queue
{
public:
    void add(time_point at, std::function<void()> call)
    {
        events_.push({at, ++count_, std::move(call)});
    }

    // Makes the calls that are due, also those that they add.
    void call_due(time_point now)
    {
        while (!events_.empty() && events_.top().at <= now)
        {
            const auto call = events_.top().call;
            events_.pop();
            call();
        }
    }

private:
    struct event
    {
        time_point at{};
        std::uint64_t order = 0;
        std::function<void()> call;

        bool operator<(const event& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    std::priority_queue<event> events_;
    std::uint64_t count_ = 0;
};

} // namespace hemlockdeal::emulation
