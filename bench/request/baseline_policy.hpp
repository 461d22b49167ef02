// Baseline policies for the benchmarks: the request core with another
// load-balancing policy, without ejection and without a limit on the queue
// wait.
#pragma once

#include <cstddef>
#include <optional>
#include <random>

#include "request/request_policy.hpp"

namespace hemlockdeal
{

class round_robin
{
public:
    template <typename Candidates>
    std::optional<std::size_t> choose(const Candidates& candidates,
                                      std::mt19937_64& generator)
    {
        if (!started_)
        {
            next_ = generator();
            started_ = true;
        }
        for (std::size_t i = 0; i < candidates.size(); ++i)
        {
            const std::size_t candidate = next_++ % candidates.size();
            if (candidates.is_usable(candidate))
            {
                return candidate;
            }
        }
        return std::nullopt;
    }

private:
    std::size_t next_ = 0;
    bool started_ = false;
};

class least_in_flight
{
public:
    template <typename Candidates>
    std::optional<std::size_t> choose(const Candidates& candidates,
                                      std::mt19937_64& /*generator*/)
    {
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < candidates.size(); ++i)
        {
            if (candidates.is_usable(i) &&
                (!best ||
                 candidates.in_flight(i) < candidates.in_flight(*best)))
            {
                best = i;
            }
        }
        return best;
    }
};

struct baseline_policy : standard_request_policy
{
    static constexpr bool ejects_instances() { return false; }
    static constexpr bool limits_queue_wait() { return false; }
};

struct round_robin_policy : baseline_policy
{
    using route_choice = round_robin;
};

struct least_in_flight_policy : baseline_policy
{
    using route_choice = least_in_flight;
};

} // namespace hemlockdeal
