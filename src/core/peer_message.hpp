// Messages between daemons, independent of the wire format.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/declaration.hpp"
#include "core/ids.hpp"
#include "core/resources.hpp"
#include "core/time.hpp"
#include "core/timeline_event.hpp"

namespace hemlockdeal
{

// Free capacity of a shard, used to split jobs across shards.
struct shard_digest
{
    shard_id shard;
    epoch owner_epoch;
    resources free;
    std::uint32_t waiting_tasks = 0;
};

struct peer_heartbeat
{
    availability_zone_id zone;
    configuration_version version;
    bool lease_valid = false;
    bool table_reachable = false;
    std::vector<shard_digest> shards;
};

// Requests the newest version known to the peer and its last confirmation.
struct confirm_request
{
    std::uint64_t number = 0;
};

// `age` is the time from the last confirmation to the reply.
struct confirm_reply
{
    std::uint64_t number = 0;
    configuration_version version;
    duration age{};
};

struct peer_configuration
{
    configuration_version version;
    std::string text;
    std::vector<availability_zone_id> zones_out;
    std::string author;
    std::int64_t accepted_at_unix_ms = 0;
};

struct slot_request
{
    std::uint64_t number = 0;
    instance_id instance;
    std::uint32_t wanted = 0;
};

struct slot_grant
{
    std::uint64_t number = 0;
    instance_id instance;
    std::uint32_t granted = 0;
    duration valid_for{};
};

// Notifies the owner of a shard of new rows in the shard's inbox.
struct inbox_notice
{
    shard_id shard;
};

using peer_body =
    std::variant<peer_heartbeat, confirm_request, confirm_reply,
                 peer_configuration, slot_request, slot_grant, inbox_notice>;

struct peer_message
{
    vm_id sender;
    incarnation sender_incarnation;
    hybrid_timestamp stamp;
    peer_body body;
};

} // namespace hemlockdeal
