// Sizes of the workers of all shards, from the membership list. It answers
// whether a task can ever fit somewhere.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/core.hpp"

namespace hemlockdeal
{

class fleet
{
public:
    struct shard_capacity
    {
        // Without duplicates. Includes workers with a malformed entry, which
        // are expected back: a task that fits only there can still run.
        std::vector<resources> sizes;
        resources sum;
        std::uint32_t workers = 0;
    };

    void update(const membership_list& list, std::uint32_t shards_per_zone);

    const std::map<shard_id, shard_capacity>& shards() const { return shards_; }

    // Whether some worker of the shard is large enough for the task.
    bool can_fit(const shard_id& shard, const resources& size) const;

    region_id region_of(const availability_zone_id& zone) const;

private:
    std::map<shard_id, shard_capacity> shards_;
    std::map<availability_zone_id, region_id> regions_;
};

// How many tasks of the size the amount holds; an upper bound for several
// workers.
std::int64_t slots_in(const resources& amount, const resources& size);

} // namespace hemlockdeal
