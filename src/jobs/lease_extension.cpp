// Whether a leader without the store may extend leases.
#include "jobs/lease_extension.hpp"

#include <algorithm>
#include <cstddef>

namespace hemlockdeal::jobs
{

poll_permission lease_extension::permission_for(time_point now,
                                                leader_permission permission)
{
    if (has_ended_)
    {
        return {false, false, false};
    }
    if (permission.lead_is_valid)
    {
        lead_invalid_since_.reset();
        return {permission.may_extend_leases, permission.may_extend_leases,
                false};
    }
    if (!lead_invalid_since_)
    {
        lead_invalid_since_ = permission.lead_ended_at.value_or(now);
        record_followers();
    }
    const bool may_extend =
        now - *lead_invalid_since_ < state_.options.lease_extension_contact ||
        reaches_majority(now);
    return {permission.may_extend_leases,
            permission.may_extend_leases && may_extend, true};
}

void lease_extension::record_followers()
{
    workers_at_loss_ = 0;
    followers_.clear();
    for (const auto& [id, worker] : state_.fleet)
    {
        if (worker.has_ended)
        {
            continue;
        }
        ++workers_at_loss_;
        if (worker.is_recorded)
        {
            followers_.emplace(id, worker.entry.incarnation);
        }
    }
}

bool lease_extension::reaches_majority(time_point now) const
{
    const auto reached =
        std::ranges::count_if(followers_, [&](const auto& follower) {
            const auto found = state_.fleet.find(follower.first);
            return found != state_.fleet.end() &&
                   found->second.entry.incarnation == follower.second &&
                   found->second.contact_at &&
                   now - *found->second.contact_at <
                       state_.options.lease_extension_contact;
        });
    return 2 * static_cast<std::size_t>(reached) > workers_at_loss_;
}

} // namespace hemlockdeal::jobs
