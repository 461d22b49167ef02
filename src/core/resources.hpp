// Amounts of processors, memory and accelerators.
#pragma once

#include <compare>
#include <cstdint>

namespace hemlockdeal
{

struct millicores
{
    std::int64_t value = 0;
    friend constexpr auto operator<=>(millicores, millicores) = default;
};

struct megabytes
{
    std::int64_t value = 0;
    friend constexpr auto operator<=>(megabytes, megabytes) = default;
};

struct accelerator_count
{
    std::int64_t value = 0;
    friend constexpr auto operator<=>(accelerator_count,
                                      accelerator_count) = default;
};

// Capacity of a VM or demand of a task.
struct resources
{
    millicores processors;
    megabytes memory;
    accelerator_count accelerators;

    constexpr resources& operator+=(const resources& other)
    {
        processors.value += other.processors.value;
        memory.value += other.memory.value;
        accelerators.value += other.accelerators.value;
        return *this;
    }

    constexpr resources& operator-=(const resources& other)
    {
        processors.value -= other.processors.value;
        memory.value -= other.memory.value;
        accelerators.value -= other.accelerators.value;
        return *this;
    }

    // Whether each amount is at most the amount in `other`.
    constexpr bool fits_in(const resources& other) const
    {
        return processors <= other.processors && memory <= other.memory &&
               accelerators <= other.accelerators;
    }

    friend constexpr resources operator+(resources a, const resources& b)
    {
        return a += b;
    }

    friend constexpr resources operator-(resources a, const resources& b)
    {
        return a -= b;
    }

    friend constexpr bool operator==(const resources&,
                                     const resources&) = default;
};

} // namespace hemlockdeal
