// Capacity of all shards as the membership list shows it.
#include "batch/fleet.hpp"

#include <algorithm>
#include <limits>

#include "batch/batch_codec.hpp"

namespace hemlockdeal
{

void fleet::update(const membership_list& list, std::uint32_t shards_per_zone)
{
    shards_.clear();
    for (const member& m : list.members)
    {
        regions_[m.zone] = m.region;
        if (m.kind != member_kind::worker || m.state == member_state::leaving)
        {
            continue;
        }
        shard_capacity& shard =
            shards_[shard_of(worker_id(m.id), m.zone, shards_per_zone)];
        if (m.state == member_state::live)
        {
            shard.sum += m.size;
            ++shard.workers;
        }
        if (std::ranges::find(shard.sizes, m.size) == shard.sizes.end())
        {
            shard.sizes.push_back(m.size);
        }
    }
}

bool fleet::can_fit(const shard_id& shard, const resources& size) const
{
    const auto found = shards_.find(shard);
    return found != shards_.end() &&
           std::ranges::any_of(
               found->second.sizes,
               [&](const resources& worker) { return size.fits_in(worker); });
}

region_id fleet::region_of(const availability_zone_id& zone) const
{
    const auto found = regions_.find(zone);
    return found == regions_.end() ? region_id() : found->second;
}

std::int64_t slots_in(const resources& amount, const resources& size)
{
    std::int64_t slots = std::numeric_limits<std::int32_t>::max();
    const auto limit = [&slots](std::int64_t have, std::int64_t need) {
        if (need > 0)
        {
            slots = std::min(slots, std::max<std::int64_t>(have, 0) / need);
        }
    };
    limit(amount.processors.value, size.processors.value);
    limit(amount.memory.value, size.memory.value);
    limit(amount.accelerators.value, size.accelerators.value);
    return slots;
}

} // namespace hemlockdeal
