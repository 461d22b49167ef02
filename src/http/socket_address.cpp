// Parses and formats socket addresses.
#include "http/socket_address.hpp"

#include <charconv>

#include <arpa/inet.h>

namespace hemlockdeal
{

std::optional<socket_address> parse_socket_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    // inet_pton() reads only up to a NUL byte.
    const bool has_nul = text.find('\0') != std::string_view::npos;
    if (colon == std::string_view::npos || has_nul)
    {
        return std::nullopt;
    }
    socket_address address;
    address.ip = std::string(text.substr(0, colon));
    in_addr parsed{};
    if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1)
    {
        return std::nullopt;
    }
    const auto digits = text.substr(colon + 1);
    const auto* const end = digits.data() + digits.size();
    const auto read = std::from_chars(digits.data(), end, address.port);
    if (read.ec != std::errc{} || read.ptr != end || address.port == 0)
    {
        return std::nullopt;
    }
    return address;
}

std::string to_text(const socket_address& address)
{
    return address.ip + ':' + std::to_string(address.port);
}

} // namespace hemlockdeal
