// Default load balancing: the less loaded of two random candidates. Random
// choices keep many daemons from choosing the same instance.
#pragma once

#include <cstddef>
#include <optional>
#include <random>

namespace hemlockdeal
{

class power_of_two_choices
{
public:
    // Index of the chosen candidate, or nothing if none is usable.
    template <typename Candidates>
    std::optional<std::size_t> choose(const Candidates& candidates,
                                      std::mt19937_64& generator)
    {
        const std::size_t count = candidates.size();
        if (count == 0)
        {
            return std::nullopt;
        }
        std::optional<std::size_t> first;
        for (std::size_t i = 0; i < max_random_draws; ++i)
        {
            const std::size_t candidate = generator() % count;
            if (candidate == first || !candidates.is_usable(candidate))
            {
                continue;
            }
            if (first)
            {
                return less_loaded(candidates, *first, candidate);
            }
            first = candidate;
        }
        return scan_all(candidates, first, generator() % count);
    }

private:
    // Fallback when few candidates are usable: scans all of them from a random
    // start.
    template <typename Candidates>
    std::optional<std::size_t> scan_all(const Candidates& candidates,
                                        std::optional<std::size_t> first,
                                        std::size_t start)
    {
        for (std::size_t i = 0; i < candidates.size(); ++i)
        {
            const std::size_t candidate = (start + i) % candidates.size();
            if (candidate == first || !candidates.is_usable(candidate))
            {
                continue;
            }
            if (first)
            {
                return less_loaded(candidates, *first, candidate);
            }
            first = candidate;
        }
        return first;
    }

    template <typename Candidates>
    static std::size_t less_loaded(const Candidates& candidates, std::size_t a,
                                   std::size_t b)
    {
        return candidates.load(b) < candidates.load(a) ? b : a;
    }

    static constexpr std::size_t max_random_draws = 6;
};

} // namespace hemlockdeal
