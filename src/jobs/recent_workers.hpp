// The last few workers of which something was noted.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "core/core.hpp"

namespace hemlockdeal::jobs
{

class recent_workers
{
public:
    // Replaces the oldest worker if there are too many.
    void add(const worker_id& worker)
    {
        std::erase(workers_, worker);
        workers_.push_back(worker);
        if (workers_.size() > max_count)
        {
            workers_.erase(workers_.begin());
        }
    }

    bool contains(const worker_id& worker) const
    {
        return std::ranges::find(workers_, worker) != workers_.end();
    }

    // Bounds the memory of a task that stalls everywhere.
    static constexpr std::size_t max_count = 16;

private:
    std::vector<worker_id> workers_; // oldest first
};

} // namespace hemlockdeal::jobs
