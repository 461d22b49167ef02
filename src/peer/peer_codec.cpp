// Protobuf encoding of the messages between daemons.
#include "peer/peer_codec.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "peer/generated/peer.pb.h"

namespace hemlockdeal
{

namespace
{

// A loan of slots lasts a few seconds, and a daemon may be cut off for hours.
constexpr duration max_validity = std::chrono::hours(1);
constexpr duration max_age = std::chrono::hours(366 * 24);
// The end of the year 2200. A higher time stamp would be passed on by every
// daemon that receives it, and the clocks that follow it would overflow.
constexpr std::int64_t max_wall_us = 7'289'568'000'000'000;

bool is_between(duration time, duration max)
{
    return time >= duration::zero() && time <= max;
}

// False if a time is beyond all that a daemon sends: a loan without an end
// would hold slots for ever, and other absurd times would overflow the clock.
bool has_valid_numbers(const peer_message& message)
{
    if (message.stamp.wall_us < 0 || message.stamp.wall_us > max_wall_us)
    {
        return false;
    }
    if (const auto* const reply = std::get_if<confirm_reply>(&message.body))
    {
        return is_between(reply->age, max_age);
    }
    const auto* const grant = std::get_if<slot_grant>(&message.body);
    return grant == nullptr || is_between(grant->valid_for, max_validity);
}

void write(const shard_id& from, wire::Shard& to)
{
    to.set_zone(from.zone.value());
    to.set_number(from.number);
}

void write(const resources& from, wire::Resources& to)
{
    to.set_processors_milli(from.processors.value);
    to.set_memory_mb(from.memory.value);
    to.set_accelerators(from.accelerators.value);
}

void write_body(const peer_heartbeat& from, wire::Envelope& envelope)
{
    auto& to = *envelope.mutable_heartbeat();
    to.set_zone(from.zone.value());
    to.set_version(from.version.value());
    to.set_lease_valid(from.lease_valid);
    to.set_table_reachable(from.table_reachable);
    std::ranges::for_each(from.shards, [&](const shard_digest& digest) {
        auto& out = *to.add_shards();
        write(digest.shard, *out.mutable_shard());
        out.set_epoch(digest.owner_epoch.value());
        write(digest.free, *out.mutable_free());
        out.set_waiting_tasks(digest.waiting_tasks);
    });
}

void write_body(const confirm_request& from, wire::Envelope& envelope)
{
    envelope.mutable_confirm_request()->set_number(from.number);
}

void write_body(const confirm_reply& from, wire::Envelope& envelope)
{
    auto& to = *envelope.mutable_confirm_reply();
    to.set_number(from.number);
    to.set_version(from.version.value());
    to.set_age_us(from.age.count());
}

void write_body(const peer_configuration& from, wire::Envelope& envelope)
{
    auto& to = *envelope.mutable_configuration();
    to.set_version(from.version.value());
    to.set_text(from.text);
    std::ranges::for_each(from.zones_out, [&](const auto& zone) {
        to.add_zones_out(zone.value());
    });
    to.set_author(from.author);
    to.set_accepted_at_unix_ms(from.accepted_at_unix_ms);
}

void write_body(const slot_request& from, wire::Envelope& envelope)
{
    auto& to = *envelope.mutable_slot_request();
    to.set_number(from.number);
    to.set_instance(from.instance.value());
    to.set_wanted(from.wanted);
}

void write_body(const slot_grant& from, wire::Envelope& envelope)
{
    auto& to = *envelope.mutable_slot_grant();
    to.set_number(from.number);
    to.set_instance(from.instance.value());
    to.set_granted(from.granted);
    to.set_valid_for_us(from.valid_for.count());
}

void write_body(const inbox_notice& from, wire::Envelope& envelope)
{
    write(from.shard, *envelope.mutable_inbox_notice()->mutable_shard());
}

shard_id read(const wire::Shard& from)
{
    return {availability_zone_id(from.zone()), from.number()};
}

resources read(const wire::Resources& from)
{
    return {
        {from.processors_milli()}, {from.memory_mb()}, {from.accelerators()}};
}

peer_heartbeat read(const wire::Heartbeat& from)
{
    peer_heartbeat out{availability_zone_id(from.zone()),
                       configuration_version(from.version()),
                       from.lease_valid(),
                       from.table_reachable(),
                       {}};
    std::ranges::for_each(from.shards(), [&](const wire::ShardDigest& in) {
        out.shards.push_back({read(in.shard()), epoch(in.epoch()),
                              read(in.free()), in.waiting_tasks()});
    });
    return out;
}

peer_configuration read(const wire::Configuration& from)
{
    peer_configuration out{configuration_version(from.version()),
                           from.text(),
                           {},
                           from.author(),
                           from.accepted_at_unix_ms()};
    std::ranges::for_each(from.zones_out(), [&](const std::string& zone) {
        out.zones_out.emplace_back(zone);
    });
    return out;
}

// Empty if this version does not know the type of the body.
std::optional<peer_body> read_body(const wire::Envelope& from)
{
    switch (from.body_case())
    {
    case wire::Envelope::kHeartbeat:
        return read(from.heartbeat());
    case wire::Envelope::kConfirmRequest:
        return confirm_request{from.confirm_request().number()};
    case wire::Envelope::kConfirmReply:
        return confirm_reply{
            from.confirm_reply().number(),
            configuration_version(from.confirm_reply().version()),
            duration(from.confirm_reply().age_us())};
    case wire::Envelope::kConfiguration:
        return read(from.configuration());
    case wire::Envelope::kSlotRequest:
        return slot_request{from.slot_request().number(),
                            instance_id(from.slot_request().instance()),
                            from.slot_request().wanted()};
    case wire::Envelope::kSlotGrant:
        return slot_grant{from.slot_grant().number(),
                          instance_id(from.slot_grant().instance()),
                          from.slot_grant().granted(),
                          duration(from.slot_grant().valid_for_us())};
    case wire::Envelope::kInboxNotice:
        return inbox_notice{read(from.inbox_notice().shard())};
    case wire::Envelope::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

error too_large(std::size_t bytes)
{
    return {error_code::invalid_input,
            "a message of " + std::to_string(bytes) +
                " bytes exceeds the limit of " +
                std::to_string(max_peer_message_bytes)};
}

} // namespace

result<std::string> encode(const peer_message& message)
{
    wire::Envelope envelope;
    envelope.set_sender(message.sender.value());
    envelope.set_incarnation(message.sender_incarnation.value());
    envelope.set_wall_us(message.stamp.wall_us);
    envelope.set_logical(message.stamp.logical);
    std::visit([&](const auto& body) { write_body(body, envelope); },
               message.body);
    const auto size = envelope.ByteSizeLong();
    if (size > max_peer_message_bytes)
    {
        return too_large(size);
    }
    return envelope.SerializeAsString();
}

result<peer_message> decode(std::string_view bytes)
{
    if (bytes.size() > max_peer_message_bytes)
    {
        return too_large(bytes.size());
    }
    wire::Envelope envelope;
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        return error{error_code::invalid_input, "malformed protobuf message"};
    }
    if (envelope.sender().empty())
    {
        return error{error_code::invalid_input, "the message has no sender"};
    }
    auto body = read_body(envelope);
    if (!body)
    {
        return error{error_code::invalid_input,
                     "the message body is missing or of an unknown type"};
    }
    peer_message message{vm_id(envelope.sender()),
                         incarnation(envelope.incarnation()),
                         {envelope.wall_us(), envelope.logical()},
                         std::move(*body)};
    if (!has_valid_numbers(message))
    {
        return error{error_code::invalid_input,
                     "a time in the message is out of range"};
    }
    return message;
}

} // namespace hemlockdeal
