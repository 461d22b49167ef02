// Encodes messages between daemons as protobuf.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "core/peer_message.hpp"
#include "core/result.hpp"

namespace hemlockdeal
{

// Larger messages are refused in both directions. The largest is a
// configuration, whose declaration has some 10 KB at the design size.
inline constexpr std::size_t max_peer_message_bytes = std::size_t{1} << 20U;

// An error when the message is too large.
result<std::string> encode(const peer_message& message);

// An error when the bytes are not a complete message of this protocol.
result<peer_message> decode(std::string_view bytes);

} // namespace hemlockdeal
