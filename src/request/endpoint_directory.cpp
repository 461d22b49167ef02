// Endpoint directory: applies membership lists and divides slots.
#include "request/endpoint_directory.hpp"

#include <algorithm>

namespace hemlockdeal
{

endpoint_directory::endpoint_directory(vm_id self, availability_zone_id zone,
                                       region_id region, double floor_share)
    : self_(std::move(self)), zone_(std::move(zone)),
      region_(std::move(region)), floor_share_(floor_share)
{}

void endpoint_directory::apply(const membership_list& list, time_point now)
{
    for (endpoint_instance& i : instances_)
    {
        i.listed = false;
    }
    entry_vms_in_region_ = 0;
    std::vector<const member*> entry_vms;
    for (const member& m : list.members)
    {
        if (m.kind == member_kind::endpoint)
        {
            apply_endpoint(m);
        }
        else if (m.kind == member_kind::entry_vm)
        {
            entry_vms.push_back(&m);
            entry_vms_in_region_ += m.region == region_ ? 1 : 0;
        }
    }
    for (instance_index i = 0; i < instances_.size(); ++i)
    {
        endpoint_instance& e = instances_[i];
        if (e.listed)
        {
            e.share.set_allocation(allocation_for(e, entry_vms), now);
        }
        else if (e.in_flight.empty() && !e.id.empty())
        {
            by_id_.erase(e.id);
            e = endpoint_instance();
            free_indexes_.push_back(i);
        }
    }
    rebuild_tiers();
    refresh_capacity(now);
}

void endpoint_directory::apply_endpoint(const member& m)
{
    const auto known = find(instance_id(m.id));
    endpoint_instance& e = instances_[known ? *known : add(m)];
    const bool listed_as_leaving = m.state == member_state::leaving;
    // An instance that was listed as leaving and is now listed as live has
    // returned.
    if (e.listed_leaving && !listed_as_leaving)
    {
        e.announced_leaving.reset();
    }
    e.listed = true;
    e.listed_leaving = listed_as_leaving;
    e.unusable = m.state == member_state::unusable;
    e.address = m.address;
    e.zone = m.zone;
    e.service = service_of(m.service);
    e.tier = m.zone == zone_ ? 0 : m.region == region_ ? 1 : far_tier;
    e.slots = m.slots;
    e.connections = m.connections;
    e.zone_out = std::ranges::find(zones_out_, m.zone) != zones_out_.end();
}

instance_index endpoint_directory::add(const member& m)
{
    instance_index index = 0;
    if (free_indexes_.empty())
    {
        index = static_cast<instance_index>(instances_.size());
        instances_.emplace_back();
    }
    else
    {
        index = free_indexes_.back();
        free_indexes_.pop_back();
    }
    instances_[index].id = instance_id(m.id);
    by_id_.emplace(instances_[index].id, index);
    return index;
}

void endpoint_directory::set_zones_out(std::vector<availability_zone_id> zones)
{
    zones_out_ = std::move(zones);
    for (endpoint_instance& e : instances_)
    {
        e.zone_out = std::ranges::find(zones_out_, e.zone) != zones_out_.end();
    }
}

std::optional<instance_index>
endpoint_directory::find(const instance_id& id) const
{
    const auto found = by_id_.find(id);
    if (found == by_id_.end())
    {
        return std::nullopt;
    }
    return found->second;
}

service_index endpoint_directory::service_of(const service_id& id)
{
    const auto [entry, added] = service_by_id_.try_emplace(
        id, static_cast<service_index>(services_.size()));
    if (added)
    {
        services_.emplace_back().id = id;
    }
    return entry->second;
}

slot_allocation endpoint_directory::allocation_for(
    const endpoint_instance& instance,
    const std::vector<const member*>& entry_vms) const
{
    std::uint32_t entry_vm_count = 0;
    slot_allocation allocation;
    std::uint64_t highest_rank = 0;
    for (const member* m : entry_vms)
    {
        if (m->zone != instance.zone)
        {
            continue;
        }
        ++entry_vm_count;
        const std::uint64_t rank =
            stable_hash(m->id, stable_hash(instance.id.value()));
        if (m->state == member_state::live && rank >= highest_rank)
        {
            highest_rank = rank;
            allocation.coordinator = vm_id(m->id);
        }
    }
    const std::uint32_t n = std::max(1U, entry_vm_count);
    const auto floor_slots =
        static_cast<std::uint32_t>(floor_share_ * instance.slots);
    const std::uint32_t floor = std::max(1U, floor_slots / n);
    allocation.pool =
        instance.slots - std::min(instance.slots, floor * entry_vm_count);
    allocation.floor = instance.tier == 0 ? floor : 0;
    return allocation;
}

void endpoint_directory::rebuild_tiers()
{
    for (service_instances& s : services_)
    {
        s.tiers = {};
    }
    for (instance_index i = 0; i < instances_.size(); ++i)
    {
        const endpoint_instance& e = instances_[i];
        if (e.listed)
        {
            services_[e.service].tiers[e.tier].push_back(i);
        }
    }
}

void endpoint_directory::add_in_flight(instance_index i, request_id request,
                                       time_point now)
{
    endpoint_instance& e = instances_[i];
    e.in_flight.emplace_back(now, request);
    e.peak_in_flight = std::max(e.peak_in_flight,
                                static_cast<std::uint32_t>(e.in_flight.size()));
    ++services_[e.service].in_flight;
}

void endpoint_directory::remove_in_flight(instance_index i, request_id request)
{
    endpoint_instance& e = instances_[i];
    const auto found = std::ranges::find_if(
        e.in_flight, [&](const auto& f) { return f.second == request; });
    if (found != e.in_flight.end())
    {
        e.in_flight.erase(found);
        --services_[e.service].in_flight;
    }
}

void endpoint_directory::refresh_capacity(time_point now)
{
    for (service_instances& s : services_)
    {
        s.capacity = 0;
        for (const auto& tier : s.tiers)
        {
            for (const instance_index i : tier)
            {
                const endpoint_instance& e = instances_[i];
                if (!e.is_leaving() && !e.health.is_ejected())
                {
                    s.capacity += e.share.usable(now);
                }
            }
        }
    }
}

} // namespace hemlockdeal
