// See the header.
#include "batch/reservations.hpp"

#include <algorithm>

namespace hemlockdeal
{

void reservations::remove(std::uint64_t task)
{
    std::erase_if(all_, [&](const reservation& r) { return r.task == task; });
}

void reservations::remove_expired(time_point now)
{
    std::erase_if(all_, [&](const reservation& r) { return r.until <= now; });
}

const reservation* reservations::find(std::uint64_t task) const
{
    const auto found = std::ranges::find(all_, task, &reservation::task);
    return found == all_.end() ? nullptr : &*found;
}

resources reservations::for_others(std::uint64_t worker, std::uint64_t task,
                                   bool urgent) const
{
    resources sum;
    for (const reservation& r : all_)
    {
        if (r.worker == worker && r.task != task && (r.urgent || !urgent))
        {
            sum += r.size;
        }
    }
    return sum;
}

bool reservations::has_drain() const
{
    return !std::ranges::all_of(all_, &reservation::by_eviction);
}

} // namespace hemlockdeal
