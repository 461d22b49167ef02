// Protobuf encoding of the messages between daemons.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "core/peer_message.hpp"
#include "core/result.hpp"

namespace hemlockdeal
{

// Larger messages are neither sent nor accepted. The largest message is a
// configuration; its declaration is about 10 KB at the design size.
inline constexpr std::size_t max_peer_message_bytes = std::size_t{1} << 20U;

// Returns an error if the encoded message is too large.
result<std::string> encode(const peer_message& message);

// Returns an error if the bytes are not a complete message of this protocol.
result<peer_message> decode(std::string_view bytes);

} // namespace hemlockdeal
