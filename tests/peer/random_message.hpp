// Generators and comparison of random peer messages.
#pragma once

#include <string>
#include <tuple>
#include <type_traits>
#include <variant>
#include <vector>

#include <rapidcheck.h>

#include "core/peer_message.hpp"

namespace hemlockdeal::test
{

template <typename T>
T any()
{
    return *rc::gen::arbitrary<T>();
}

inline shard_id any_shard()
{
    return {availability_zone_id(any<std::string>()), any<std::uint32_t>()};
}

inline resources any_resources()
{
    return {
        {any<std::int64_t>()}, {any<std::int64_t>()}, {any<std::int64_t>()}};
}

inline peer_heartbeat any_heartbeat()
{
    peer_heartbeat out{availability_zone_id(any<std::string>()),
                       configuration_version(any<std::uint64_t>()),
                       any<bool>(),
                       any<bool>(),
                       {}};
    const auto count = *rc::gen::inRange(0, 5);
    for (int i = 0; i < count; ++i)
    {
        out.shards.push_back({any_shard(), epoch(any<std::uint64_t>()),
                              any_resources(), any<std::uint32_t>()});
    }
    return out;
}

inline peer_configuration any_configuration()
{
    peer_configuration out{configuration_version(any<std::uint64_t>()),
                           any<std::string>(),
                           {},
                           any<std::string>(),
                           any<std::int64_t>()};
    for (const auto& zone : any<std::vector<std::string>>())
    {
        out.zones_out.emplace_back(zone);
    }
    return out;
}

// A random body of the peer_body alternative with this index.
inline peer_body any_body(std::size_t index)
{
    const auto number = any<std::uint64_t>();
    const auto small = any<std::uint32_t>();
    const instance_id instance(any<std::string>());
    // Other times are errors; see numbers_out_of_range_are_errors.
    const duration time(*rc::gen::inRange<std::int64_t>(0, 3'600'000'001));
    switch (index)
    {
    case 0:
        return any_heartbeat();
    case 1:
        return confirm_request{number};
    case 2:
        return confirm_reply{number,
                             configuration_version(any<std::uint64_t>()), time};
    case 3:
        return any_configuration();
    case 4:
        return slot_request{number, instance, small};
    case 5:
        return slot_grant{number, instance, small, time};
    default:
        return inbox_notice{any_shard()};
    }
}

inline peer_message any_message(std::size_t body, const std::string& sender)
{
    return {vm_id(sender),
            incarnation(any<std::uint64_t>()),
            {*rc::gen::inRange<std::int64_t>(0, 7'289'568'000'000'001),
             any<std::uint32_t>()},
            any_body(body)};
}

inline bool equal(const peer_heartbeat& a, const peer_heartbeat& b)
{
    const auto same_digest = [](const shard_digest& x, const shard_digest& y) {
        return std::tie(x.shard, x.owner_epoch, x.free, x.waiting_tasks) ==
               std::tie(y.shard, y.owner_epoch, y.free, y.waiting_tasks);
    };
    return std::tie(a.zone, a.version, a.lease_valid, a.table_reachable) ==
               std::tie(b.zone, b.version, b.lease_valid, b.table_reachable) &&
           std::equal(a.shards.begin(), a.shards.end(), b.shards.begin(),
                      b.shards.end(), same_digest);
}

inline bool equal(const confirm_request& a, const confirm_request& b)
{
    return a.number == b.number;
}

inline bool equal(const confirm_reply& a, const confirm_reply& b)
{
    return std::tie(a.number, a.version, a.age) ==
           std::tie(b.number, b.version, b.age);
}

inline bool equal(const peer_configuration& a, const peer_configuration& b)
{
    return std::tie(a.version, a.text, a.zones_out, a.author,
                    a.accepted_at_unix_ms) == std::tie(b.version, b.text,
                                                       b.zones_out, b.author,
                                                       b.accepted_at_unix_ms);
}

inline bool equal(const slot_request& a, const slot_request& b)
{
    return std::tie(a.number, a.instance, a.wanted) ==
           std::tie(b.number, b.instance, b.wanted);
}

inline bool equal(const slot_grant& a, const slot_grant& b)
{
    return std::tie(a.number, a.instance, a.granted, a.valid_for) ==
           std::tie(b.number, b.instance, b.granted, b.valid_for);
}

inline bool equal(const inbox_notice& a, const inbox_notice& b)
{
    return a.shard == b.shard;
}

inline bool equal(const peer_message& a, const peer_message& b)
{
    return std::tie(a.sender, a.sender_incarnation, a.stamp) ==
               std::tie(b.sender, b.sender_incarnation, b.stamp) &&
           std::visit(
               [](const auto& x, const auto& y) {
                   if constexpr (std::is_same_v<decltype(x), decltype(y)>)
                   {
                       return equal(x, y);
                   }
                   return false;
               },
               a.body, b.body);
}

} // namespace hemlockdeal::test
