// Makes text of unknown origin fit for JSON.
#pragma once

#include <string>
#include <string_view>

namespace hemlockdeal
{

// Replaces each byte that is not part of valid UTF-8 by '?'. Texts from
// workers and callers may hold any bytes, and readers of JSON refuse a whole
// document for one of them.
std::string valid_utf8(std::string_view text);

} // namespace hemlockdeal
