// Public header of the settings library: reads settings and declarations.
// A document is checked as a whole; all findings come back together.
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

// Reads and checks the settings of a daemon.
settings_result load_settings(const std::filesystem::path& path);

// Checks settings that were read before; `file` is named in the findings.
settings_result parse_settings(std::string_view text, const std::string& file);

// Reads and checks a declaration.
declaration_result load_declaration(const std::filesystem::path& path);

// Checks a declaration; `file` is named in the findings.
declaration_result parse_declaration(std::string_view text,
                                     const std::string& file);

// Reads "host:port"; the host is an IP number.
std::optional<socket_address> parse_address(std::string_view text);

// Reads a time such as "800 ms", "2 s", "1.5 min", "6 h" or "7 d".
std::optional<duration> parse_duration(std::string_view text);

// Ids are parts of table keys, so that they hold no '/': letters, digits,
// '-', '_' and '.', at most 63 characters.
bool is_valid_id(std::string_view text);

} // namespace hemlockdeal
