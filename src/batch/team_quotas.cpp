// See the header.
#include "batch/team_quotas.hpp"

#include <algorithm>

namespace hemlockdeal
{

void team_quotas::reset(std::span<const team_quota> quotas,
                        const resources& capacity)
{
    quotas_ = quotas;
    capacity_ = capacity;
    used_.clear();
    std::ranges::transform(quotas, std::back_inserter(used_),
                           &team_quota::used);
}

std::uint16_t team_quotas::index(const team_id& team) const
{
    const auto found =
        std::ranges::lower_bound(quotas_, team, {}, &team_quota::team);
    return found != quotas_.end() && found->team == team
               ? static_cast<std::uint16_t>(found - quotas_.begin())
               : none;
}

bool team_quotas::is_below(std::uint16_t team) const
{
    return team != none && share(used_[team]) * 100.0 < quotas_[team].percent;
}

bool team_quotas::is_borrowed(std::uint16_t team, const resources& size) const
{
    return team == none ||
           share(used_[team] - size) * 100.0 >= quotas_[team].percent;
}

void team_quotas::add(std::uint16_t team, const resources& size)
{
    if (team != none)
    {
        used_[team] += size;
    }
}

void team_quotas::remove(std::uint16_t team, const resources& size)
{
    if (team != none)
    {
        used_[team] -= size;
    }
}

double team_quotas::share(const resources& used) const
{
    const auto part = [](std::int64_t amount, std::int64_t of) {
        return of > 0 ? static_cast<double>(amount) / static_cast<double>(of)
                      : 0.0;
    };
    return std::max(
        {part(used.processors.value, capacity_.processors.value),
         part(used.memory.value, capacity_.memory.value),
         part(used.accelerators.value, capacity_.accelerators.value)});
}

} // namespace hemlockdeal
