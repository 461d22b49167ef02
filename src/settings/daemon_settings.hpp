// Settings of one daemon: its identity, listen addresses and known peers. The
// targets that operators set for the system are in the declaration.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.hpp"

namespace hemlockdeal
{

// IP address and port.
struct socket_address
{
    std::string host; // without the brackets of IPv6
    std::uint16_t port = 0;

    friend bool operator==(const socket_address&,
                           const socket_address&) = default;
};

// Formats an address as "host:port", with brackets around IPv6 addresses.
std::string to_text(const socket_address& address);

// "http://host:port", without a trailing slash.
using http_address = text_id<struct http_address_tag>;
// CURVE keys: 40 characters in Z85 encoding.
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
    // Must be the same for all daemons; otherwise they assign a worker to
    // different shards.
    std::uint32_t shards_per_zone = 4;
    // Whether workers reject commands with a stale epoch (assumption W1).
    bool workers_fence = true;
    // Memory for requests and responses that the proxy buffers at once.
    std::uint32_t request_buffers_mb = 256;
    // Memory for requests of operators and submitters that have no reply yet.
    std::uint32_t operator_buffers_mb = 32;
};

} // namespace hemlockdeal
