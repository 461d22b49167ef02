// The instances and entry VMs of the membership list, indexed for routing and
// slot sharing.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/core.hpp"
#include "request/instance_health.hpp"
#include "request/slot_share.hpp"

namespace hemlockdeal
{

using instance_index = std::uint32_t;
using service_index = std::uint32_t;

// Tiers of instances by distance: same zone, same region, other regions.
inline constexpr std::size_t tier_count = 3;
inline constexpr std::size_t far_tier = 2;

struct endpoint_instance
{
    instance_id id;
    std::string address;
    availability_zone_id zone;
    service_index service = 0;
    std::size_t tier = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;

    bool listed = false;
    bool listed_leaving = false;
    // The entry of the list is malformed.
    bool unusable = false;
    // The zone was taken out of service by an operator.
    bool zone_out = false;
    // Time at which the instance announced that it is leaving.
    std::optional<time_point> announced_leaving;

    instance_health health;
    slot_share share;
    // Requests in flight from this daemon with their start times, oldest first.
    std::vector<std::pair<time_point, request_id>> in_flight;
    // Peak number of requests in flight since the last loan round.
    std::uint32_t peak_in_flight = 0;

    // Whether the instance gets no new requests.
    bool is_leaving() const
    {
        return !listed || listed_leaving || unusable || zone_out ||
               announced_leaving.has_value();
    }
};

struct service_instances
{
    service_id id;
    // All listed instances, including those that are leaving.
    std::array<std::vector<instance_index>, tier_count> tiers;
    // Time for which a request occupies a slot, across all instances.
    response_estimate occupancy{0.02};
    // Time to the response head, across all instances.
    response_estimate responses{0.02};
    // Usable slots of the instances that can be routed to; updated by
    // refresh_capacity().
    std::uint32_t capacity = 0;
    std::uint32_t in_flight = 0;
};

class endpoint_directory
{
public:
    endpoint_directory(vm_id self, availability_zone_id zone, region_id region,
                       double floor_share);

    void apply(const membership_list& list, time_point now);
    void set_zones_out(std::vector<availability_zone_id> zones);

    std::optional<instance_index> find(const instance_id& id) const;
    endpoint_instance& at(instance_index i) { return instances_[i]; }
    const endpoint_instance& at(instance_index i) const
    {
        return instances_[i];
    }
    std::size_t size() const { return instances_.size(); }

    // Adds the service if it is not known yet.
    service_index service_of(const service_id& id);
    service_instances& service(service_index s) { return services_[s]; }
    const service_instances& service(service_index s) const
    {
        return services_[s];
    }
    std::size_t service_count() const { return services_.size(); }

    std::size_t entry_vms_in_region() const { return entry_vms_in_region_; }
    const vm_id& self() const { return self_; }

    void add_in_flight(instance_index i, request_id request, time_point now);
    void remove_in_flight(instance_index i, request_id request);
    // Recomputes the capacity of every service.
    void refresh_capacity(time_point now);

private:
    void apply_endpoint(const member& m);
    instance_index add(const member& m);
    slot_allocation
    allocation_for(const endpoint_instance& instance,
                   const std::vector<const member*>& entry_vms) const;
    void rebuild_tiers();

    vm_id self_;
    availability_zone_id zone_;
    region_id region_;
    double floor_share_;
    std::vector<availability_zone_id> zones_out_;
    // Indexes are stable. An entry is reused once its instance has left the
    // list and has no requests in flight.
    std::vector<endpoint_instance> instances_;
    std::vector<instance_index> free_indexes_;
    std::unordered_map<instance_id, instance_index> by_id_;
    std::vector<service_instances> services_;
    std::unordered_map<service_id, service_index> service_by_id_;
    std::size_t entry_vms_in_region_ = 1;
};

} // namespace hemlockdeal
