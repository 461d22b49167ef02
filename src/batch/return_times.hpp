// Growing times before something may happen again on a worker.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "core/time.hpp"

namespace hemlockdeal
{

// Doubles the time with each repetition, so that work which arrives in waves
// does not flap. A pair of worker and class that stayed quiet for longer than
// twice its last time starts over.
class return_times
{
public:
    return_times(duration first, duration longest, bool grows)
        : first_(first), longest_(longest), grows_(grows)
    {}

    // Returns the time before which it may not happen again.
    time_point add(std::uint64_t worker, std::size_t kind, time_point now);
    bool holds(std::uint64_t worker, std::size_t kind, time_point now) const;
    void forget_old(time_point now);

private:
    struct entry
    {
        time_point until;
        duration length{};
    };

    static std::uint64_t key(std::uint64_t worker, std::size_t kind)
    {
        return worker ^ (0x9e3779b97f4a7c15ULL * (kind + 1));
    }
    static bool is_over(const entry& e, time_point now)
    {
        return e.until + 2 * e.length < now;
    }

    duration first_;
    duration longest_;
    bool grows_;
    std::unordered_map<std::uint64_t, entry> entries_;
};

} // namespace hemlockdeal
