// Messages between daemons, independent of their encoding on the wire.
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

// Free capacity of a shard, for splitting jobs over shards.
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

// Asks for the newest version that the peer knows to be confirmed.
struct confirm_request
{
    std::uint64_t number = 0;
};

// `age` is the time since the confirmation, at the moment of the reply.
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

// The inbox of a shard that the receiver owns has new rows.
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
