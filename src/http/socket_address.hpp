// IPv4 socket address.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockdeal
{

struct socket_address
{
    std::string ip;
    std::uint16_t port = 0;

    friend auto operator<=>(const socket_address&,
                            const socket_address&) = default;
};

// Parses "IP:PORT" with a dotted IPv4 address and a port other than 0.
std::optional<socket_address> parse_socket_address(std::string_view text);

std::string to_text(const socket_address& address);

} // namespace hemlockdeal
