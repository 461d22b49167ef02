// Validation and parsing of single values.
#include "settings/text_checks.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <numeric>

#include <arpa/inet.h>

#include "core/time.hpp"
#include "settings/settings.hpp"

namespace hemlockdeal
{

namespace
{

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

bool is_alphanumeric(char c)
{
    return is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

bool is_ip_address(const std::string& host, bool is_ipv6)
{
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    return inet_pton(is_ipv6 ? AF_INET6 : AF_INET, host.c_str(),
                     parsed.data()) == 1;
}

// Levenshtein distance.
std::size_t edit_distance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> distances(b.size() + 1);
    std::iota(distances.begin(), distances.end(), std::size_t{0});
    for (std::size_t i = 1; i <= a.size(); ++i)
    {
        std::size_t substitution_base = distances[0];
        distances[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j)
        {
            const std::size_t substitution =
                substitution_base + (a[i - 1] == b[j - 1] ? 0 : 1);
            substitution_base = distances[j];
            distances[j] = std::min(
                {distances[j] + 1, distances[j - 1] + 1, substitution});
        }
    }
    return distances.back();
}

struct time_unit
{
    std::string_view name;
    double microseconds;
};

constexpr std::array<time_unit, 6> time_units{{{"us", 1},
                                               {"ms", 1e3},
                                               {"s", 1e6},
                                               {"min", 60e6},
                                               {"h", 3600e6},
                                               {"d", 86400e6}}};

} // namespace

bool is_valid_id(std::string_view text)
{
    return !text.empty() && text.size() <= 63 &&
           std::ranges::all_of(text, [](char c) {
               return is_alphanumeric(c) || c == '-' || c == '_' || c == '.';
           });
}

bool is_curve_key(std::string_view text)
{
    constexpr std::string_view punctuation = ".-:+=^!/*?&<>()[]{}@%$#";
    return text.size() == 40 && std::ranges::all_of(text, [&](char c) {
               return is_alphanumeric(c) ||
                      punctuation.find(c) != std::string_view::npos;
           });
}

bool is_http_address(std::string_view text)
{
    constexpr std::string_view scheme = "http://";
    if (!text.starts_with(scheme))
    {
        return false;
    }
    const auto address = parse_address(text.substr(scheme.size()));
    return address && address->port != 0;
}

std::optional<std::string>
nearest_name(std::string_view name, const std::vector<std::string>& candidates)
{
    // The cost grows with the length, and names this long are not misspellings.
    if (name.size() > 64)
    {
        return std::nullopt;
    }
    const auto distance = [&](const std::string& candidate) {
        return edit_distance(name, candidate);
    };
    const auto nearest = std::ranges::min_element(candidates, {}, distance);
    if (nearest == candidates.end() ||
        distance(*nearest) > std::max<std::size_t>(2, name.size() / 2))
    {
        return std::nullopt;
    }
    return *nearest;
}

std::string to_text(const socket_address& address)
{
    const bool is_ipv6 = address.host.find(':') != std::string::npos;
    return (is_ipv6 ? '[' + address.host + ']' : address.host) + ':' +
           std::to_string(address.port);
}

std::optional<socket_address> parse_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    socket_address address;
    address.host = text.substr(0, colon);
    const bool is_ipv6 = address.host.size() > 2 &&
                         address.host.front() == '[' &&
                         address.host.back() == ']';
    if (is_ipv6)
    {
        address.host = address.host.substr(1, address.host.size() - 2);
    }
    const char* const end = text.data() + text.size();
    const auto [rest, failure] =
        std::from_chars(text.data() + colon + 1, end, address.port);
    if (failure != std::errc{} || rest != end ||
        address.host.find('\0') != std::string::npos ||
        !is_ip_address(address.host, is_ipv6))
    {
        return std::nullopt;
    }
    return address;
}

std::optional<duration> parse_duration(std::string_view text)
{
    if (text.empty() || !is_digit(text.front()))
    {
        return std::nullopt;
    }
    double amount = 0;
    const char* const end = text.data() + text.size();
    const auto [rest, failure] =
        std::from_chars(text.data(), end, amount, std::chars_format::fixed);
    if (failure != std::errc{})
    {
        return std::nullopt;
    }
    std::string_view unit(rest, static_cast<std::size_t>(end - rest));
    if (unit.starts_with(' '))
    {
        unit.remove_prefix(1);
    }
    const auto found = std::ranges::find(time_units, unit, &time_unit::name);
    // 1e17 us are about 3,000 years; longer durations would overflow in later
    // additions.
    if (found == time_units.end() || amount * found->microseconds > 1e17)
    {
        return std::nullopt;
    }
    return duration(std::llround(amount * found->microseconds));
}

} // namespace hemlockdeal
