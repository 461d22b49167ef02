// Capacity of workers that is set aside for certain waiting tasks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/resources.hpp"
#include "core/time.hpp"

namespace hemlockdeal
{

struct reservation
{
    std::uint64_t task = 0;
    std::uint64_t worker = 0;
    resources size;
    time_point until;
    // Evictions make room; otherwise the worker is only kept from filling up.
    bool by_eviction = false;
    bool urgent = false;
};

class reservations
{
public:
    void add(const reservation& r) { all_.push_back(r); }
    void remove(std::uint64_t task);
    void remove_expired(time_point now);
    const reservation* find(std::uint64_t task) const;
    // Reserved on the worker for tasks other than `task`. An urgent task
    // respects only the reservations of urgent tasks.
    resources for_others(std::uint64_t worker, std::uint64_t task,
                         bool urgent) const;
    bool has_room() const { return all_.size() < at_most; }
    bool has_drain() const;
    bool empty() const { return all_.empty(); }

private:
    static constexpr std::size_t at_most = 64;

    std::vector<reservation> all_;
};

} // namespace hemlockdeal
