// Settings of one daemon: who it is, where it listens, whom it knows. What
// operators want of the system is in the declaration, not here.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.hpp"

namespace hemlockdeal
{

// IP number and port.
struct socket_address
{
    std::string host; // without the brackets of IPv6
    std::uint16_t port = 0;

    friend bool operator==(const socket_address&,
                           const socket_address&) = default;
};

// Formats an address as "host:port", with brackets around IPv6 numbers.
std::string to_text(const socket_address& address);

// "http://host:port", without a trailing slash.
using http_address = text_id<struct http_address_tag>;
// CURVE keys of 40 characters, Z85.
using curve_public_key = text_id<struct curve_public_key_tag>;
using curve_secret_key = text_id<struct curve_secret_key_tag>;
using bearer_token = text_id<struct bearer_token_tag>;

struct operator_settings
{
    socket_address listen;
    bearer_token token;
};

struct known_peer
{
    vm_id id;
    socket_address address;
    socket_address operators;
    curve_public_key public_key;
};

struct peer_settings
{
    socket_address listen;
    curve_public_key public_key;
    curve_secret_key secret_key;
    std::vector<known_peer> known;
};

struct platform_settings
{
    http_address table;
    http_address membership;
};

struct daemon_settings
{
    vm_id id;
    availability_zone_id zone;
    region_id region;
    socket_address callers;
    operator_settings operators;
    peer_settings peers;
    platform_settings platform;
    // The same for all daemons, or they disagree on the shard of a worker.
    std::uint32_t shards_per_zone = 4;
    // Workers refuse commands with a stale epoch (assumption W1).
    bool workers_fence = true;
};

} // namespace hemlockdeal
