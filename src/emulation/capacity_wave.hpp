// Capacity of emulated workers that shrinks and grows back over time.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>

#include "jobs/jobs.hpp"

namespace hemlockdeal::emulation
{

// Each worker's capacity is small for a part of each period. How small depends
// on the worker and the period.
struct capacity_wave
{
    duration period = std::chrono::seconds(9);
    duration shrunk_time = std::chrono::seconds(3);

    jobs::task_size at(time_point now, const worker_id& id,
                       const jobs::task_size& full) const
    {
        const auto phase = duration(static_cast<std::int64_t>(
            stable_hash(id.value()) %
            static_cast<std::uint64_t>(period.count())));
        const auto passed = now.time_since_epoch() + phase;
        if (passed % period >= shrunk_time)
        {
            return full;
        }
        const auto percent =
            shrunk_percent(id.value() + std::to_string(passed / period));
        return {full.processor_millis * percent / 100,
                full.memory_mb * percent / 100,
                full.accelerators * percent / 100};
    }

private:
    static std::int64_t shrunk_percent(const std::string& key)
    {
        constexpr std::uint64_t max_percent = 80;
        return static_cast<std::int64_t>(stable_hash(key) % max_percent);
    }
};

// True if one of the resources is exceeded.
inline bool is_over(const jobs::task_size& used,
                    const jobs::task_size& capacity)
{
    return used.processor_millis > capacity.processor_millis ||
           used.memory_mb > capacity.memory_mb ||
           used.accelerators > capacity.accelerators;
}

} // namespace hemlockdeal::emulation
