// Validation of single values: keys, addresses and misspelt names.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockdeal
{

// True for 40 characters of the Z85 alphabet.
bool is_curve_key(std::string_view text);

// True for "http://" followed by an IP address and a port.
bool is_http_address(std::string_view text);

// Returns the candidate with the smallest edit distance to `name`, or nothing
// if none is similar.
std::optional<std::string>
nearest_name(std::string_view name, const std::vector<std::string>& candidates);

} // namespace hemlockdeal
