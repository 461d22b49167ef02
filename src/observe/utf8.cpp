// Replacement of invalid UTF-8.
#include "observe/utf8.hpp"

#include <algorithm>
#include <cstdint>

namespace hemlockdeal
{

namespace
{

// Length of the valid sequence at the start of `text`; 0 if there is none.
std::size_t sequence_length(std::string_view text)
{
    const auto byte = [&](std::size_t i) {
        return static_cast<std::uint8_t>(text[i]);
    };
    const std::uint8_t first = byte(0);
    if (first < 0x80)
    {
        return 1;
    }
    const std::size_t length = first >= 0xf0 ? 4 : first >= 0xe0 ? 3 : 2;
    if (first < 0xc2 || first > 0xf4 || text.size() < length ||
        !std::ranges::all_of(text.substr(1, length - 1), [](char c) {
            return (static_cast<std::uint8_t>(c) & 0xc0U) == 0x80;
        }))
    {
        return 0;
    }
    // Overlong encodings, surrogates and code points above U+10FFFF.
    const std::uint8_t second = byte(1);
    const bool is_invalid =
        (first == 0xe0 && second < 0xa0) || (first == 0xed && second > 0x9f) ||
        (first == 0xf0 && second < 0x90) || (first == 0xf4 && second > 0x8f);
    return is_invalid ? 0 : length;
}

} // namespace

std::string valid_utf8(std::string_view text)
{
    std::string valid;
    valid.reserve(text.size());
    while (!text.empty())
    {
        const std::size_t length = sequence_length(text);
        if (length == 0)
        {
            valid += '?';
        }
        else
        {
            valid += text.substr(0, length);
        }
        text.remove_prefix(std::max<std::size_t>(length, 1));
    }
    return valid;
}

} // namespace hemlockdeal
