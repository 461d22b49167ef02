// Checks of single values: ids, keys and similar names.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockdeal
{

// True for 40 characters of the Z85 alphabet.
bool is_curve_key(std::string_view text);

// True for "http://" with an IP number and a port.
bool is_http_address(std::string_view text);

// The candidate with the fewest edits from `name`, unless all are too far.
std::optional<std::string>
nearest_name(std::string_view name, const std::vector<std::string>& candidates);

} // namespace hemlockdeal
