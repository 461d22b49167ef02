// Tests of the protobuf encoding of peer messages: no field may be lost, and
// malformed bytes must not crash a daemon.
#include <algorithm>

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
