// UTF-8 sanitization of untrusted text.
#pragma once

#include <string>
#include <string_view>

namespace hemlockdeal
{

// Replaces each byte that is not part of valid UTF-8 with '?'. Texts from
// workers and callers may contain any bytes, and JSON parsers reject a whole
// document because of one invalid byte.
std::string valid_utf8(std::string_view text);

} // namespace hemlockdeal
