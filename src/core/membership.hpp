// The platform's membership list of VMs and endpoints, which lags behind the
// actual state.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
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
    leaving,
    // The list names the VM, or may name it, by an entry that cannot be used:
    // it gets nothing new, and what runs there goes on.
    unusable
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

    bool operator==(const member&) const = default;
};

struct membership_list
{
    std::uint64_t version = 0;
    std::vector<member> members;
    // VMs that were never known and whose entries cannot be used.
    std::vector<std::string> unknown_ids{};
    // Some entry has no readable id, so it may name any VM that is not in
    // `gone_ids`.
    bool may_name_any_vm = false;
    // VMs that vanished beside entries without a readable id that are not
    // theirs; the latest ones, as far as they are remembered.
    std::vector<std::string> gone_ids{};

    // Whether the absence of `id` from `members` means that the list does not
    // name it.
    bool proves_absence_of(std::string_view id) const
    {
        if (std::ranges::find(unknown_ids, id) != unknown_ids.end())
        {
            return false;
        }
        return !may_name_any_vm ||
               std::ranges::find(gone_ids, id) != gone_ids.end();
    }
};

// An entry that cannot be used.
struct malformed_member
{
    std::size_t index = 0; // place in the list, counted from 0
    std::string id;        // empty when it cannot be read
    std::string fault;     // field and what was expected, bounded
    // Hash of the entry as received, when its id cannot be read.
    std::uint64_t content = 0;
};

struct received_member
{
    std::size_t index = 0; // place in the list, counted from 0
    member vm;
};

// The list as the platform sends it.
struct received_membership
{
    std::uint64_t version = 0;
    std::vector<received_member> members;
    std::vector<malformed_member> malformed{};
};

} // namespace hemlockdeal
