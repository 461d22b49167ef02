// The platform's membership list of VMs and endpoints, which lags behind the
// actual state.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.hpp"
#include "core/resources.hpp"

namespace hemlockdeal
{

enum class member_kind
{
    entry_vm,
    worker,
    endpoint
};

enum class member_state
{
    live,
    leaving
};

// An entry of the list. `id` identifies a VM (entry VM, worker) or an instance.
struct member
{
    std::string id;
    member_kind kind = member_kind::worker;
    member_state state = member_state::live;
    availability_zone_id zone;
    region_id region;
    rack_id rack;
    std::string address; // ip:port
    resources size;      // workers only
    service_id service;  // endpoints only
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
};

struct membership_list
{
    std::uint64_t version = 0;
    std::vector<member> members;
};

} // namespace hemlockdeal
