// Public header of the settings library: parses settings and declarations. Each
// document is validated as a whole, and all findings are returned together.
#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "core/declaration.hpp"
#include "core/finding.hpp"
#include "settings/daemon_settings.hpp"

namespace hemlockdeal
{

using settings_result = std::variant<daemon_settings, findings>;
using declaration_result = std::variant<declaration, findings>;

// Loads and validates the settings of a daemon.
settings_result load_settings(const std::filesystem::path& path);

// Parses and validates settings; `file` is the file name used in findings.
settings_result parse_settings(std::string_view text, const std::string& file);

// Loads and validates a declaration.
declaration_result load_declaration(const std::filesystem::path& path);

// Parses and validates a declaration; `file` is the file name used in findings.
declaration_result parse_declaration(std::string_view text,
                                     const std::string& file);

// Parses "host:port", where the host is an IP address.
std::optional<socket_address> parse_address(std::string_view text);

// Parses a duration such as "800 ms", "2 s", "1.5 min", "6 h" or "7 d".
std::optional<duration> parse_duration(std::string_view text);

// An ID has 1 to 63 characters: letters, digits, '-', '_' and '.'. IDs are
// parts of table keys and therefore must not contain '/'.
bool is_valid_id(std::string_view text);

} // namespace hemlockdeal
