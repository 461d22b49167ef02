// Look-up functions for declarations.
#include "core/declaration.hpp"

#include <algorithm>

namespace hemlockdeal
{

const work_class* find_class(const declaration& d, const class_id& id)
{
    const auto found = std::ranges::find(d.classes, id, &work_class::id);
    return found == d.classes.end() ? nullptr : &*found;
}

bool is_out(const configuration& c, const availability_zone_id& zone)
{
    return std::ranges::find(c.zones_out, zone) != c.zones_out.end();
}

std::optional<region_id> region_of(const declaration& d,
                                   const availability_zone_id& zone)
{
    const auto found = std::ranges::find(d.zones, zone, &availability_zone::id);
    if (found == d.zones.end())
    {
        return std::nullopt;
    }
    return found->region;
}

} // namespace hemlockdeal
