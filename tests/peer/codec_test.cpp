// Tests of the protobuf encoding of peer messages: no field may be lost, and
// malformed bytes must not crash a daemon.
#include <algorithm>
#include <limits>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "peer/peer.hpp"
#include "random_message.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::test;

// Failure: a field of a message body is not encoded or not decoded.
RC_GTEST_PROP(codec, messages_round_trip, ())
{
    const auto body =
        *rc::gen::inRange<std::size_t>(0, std::variant_size_v<peer_body>);
    const auto message = any_message(body, "vm" + any<std::string>());
    RC_ASSERT(message.body.index() == body);
    const auto bytes = encode(message);
    RC_ASSERT(is_ok(bytes));
    const auto decoded = decode(value_of(bytes));
    RC_ASSERT(is_ok(decoded));
    RC_ASSERT(equal(value_of(decoded), message));
}

// Failure: corrupted bytes crash the decoder, or a message without a sender or
// a body is accepted.
RC_GTEST_PROP(codec, corrupted_messages_do_not_crash_the_decoder, ())
{
    const auto body =
        *rc::gen::inRange<std::size_t>(0, std::variant_size_v<peer_body>);
    auto bytes = value_of(encode(any_message(body, "vm")));
    const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[position] = any<char>();
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    for (const auto& received : {bytes, any<std::string>()})
    {
        const auto decoded = decode(received);
        if (is_ok(decoded))
        {
            RC_ASSERT(!value_of(decoded).sender.empty());
        }
    }
}

// Failure: a message too large for the receiver is sent, or the receiver
// decodes a message of any size.
TEST(codec, oversized_messages_are_errors)
{
    peer_message message;
    message.sender = vm_id("vm");
    peer_configuration large;
    large.text.assign(max_peer_message_bytes, 'x');
    message.body = large;
    EXPECT_FALSE(is_ok(encode(message)));
    EXPECT_FALSE(is_ok(decode(large.text + "x")));
}

// Failure: an empty message is accepted as one with default values.
TEST(codec, incomplete_messages_are_errors)
{
    EXPECT_FALSE(is_ok(decode("")));
    peer_message message;
    message.body = confirm_request{1};
    EXPECT_FALSE(is_ok(decode(value_of(encode(message)))));
}

// Failure: a time that no daemon sends is used: a loan without an end holds
// slots for ever, and an absurd time stamp spreads to the clocks of all
// daemons.
TEST(codec, numbers_out_of_range_are_errors)
{
    constexpr auto lowest = std::numeric_limits<std::int64_t>::min();
    constexpr auto highest = std::numeric_limits<std::int64_t>::max();
    const auto is_read = [](std::int64_t wall_us, const peer_body& body) {
        peer_message message;
        message.sender = vm_id("vm");
        message.stamp.wall_us = wall_us;
        message.body = body;
        return is_ok(decode(value_of(encode(message))));
    };
    EXPECT_TRUE(is_read(1'700'000'000'000'000, peer_heartbeat{}));
    EXPECT_TRUE(is_read(0, confirm_reply{1, {}, duration(5'000'000)}));
    for (const auto odd : {lowest, std::int64_t{-1}, highest})
    {
        EXPECT_FALSE(is_read(odd, peer_heartbeat{})) << odd;
        EXPECT_FALSE(is_read(0, confirm_reply{1, {}, duration(odd)})) << odd;
        EXPECT_FALSE(is_read(0, slot_grant{1, {}, 3, duration(odd)})) << odd;
    }
}

// Failure: a message of another type, or of a later version, ends the decoder
// or is taken for one of a known type.
RC_GTEST_PROP(codec, mutated_messages_give_valid_numbers_or_errors, ())
{
    const auto body =
        *rc::gen::inRange<std::size_t>(0, std::variant_size_v<peer_body>);
    auto bytes = value_of(encode(any_message(body, "vm")));
    const auto mutations = *rc::gen::inRange(1, 6);
    for (int i = 0; i < mutations; ++i)
    {
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
        switch (*rc::gen::inRange(0, 3))
        {
        case 0:
            bytes.insert(at, any<std::string>());
            break;
        case 1:
            // A varint or a length of the highest value.
            bytes.insert(at, std::string(9, '\xff') + '\x01');
            break;
        default:
            bytes.erase(at, 1);
            break;
        }
    }
    const auto decoded = decode(bytes);
    if (!is_ok(decoded))
    {
        return;
    }
    const auto& message = value_of(decoded);
    RC_ASSERT(!message.sender.empty());
    RC_ASSERT(message.stamp.wall_us >= 0);
    if (const auto* const grant = std::get_if<slot_grant>(&message.body))
    {
        RC_ASSERT(grant->valid_for >= duration::zero());
        RC_ASSERT(grant->valid_for <= std::chrono::hours(1));
    }
    const auto again = decode(value_of(encode(message)));
    RC_ASSERT(is_ok(again));
    RC_ASSERT(equal(value_of(again), message));
}
