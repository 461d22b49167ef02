// Table rows that store the configuration.
#pragma once

#include <string>

#include "core/core.hpp"

namespace hemlockdeal
{

inline const std::string configuration_head_key = "config_head";
inline const std::string configuration_prefix = "config/";

// Content of the row `config/<version>`, which is written once and immutable.
struct configuration_row
{
    configuration_version version;
    std::string text;
    std::vector<availability_zone_id> zones_out;
    std::string author;
    std::int64_t accepted_at_unix_ms = 0;
    std::string change; // ID of the operator's change
};

// Zero-padded, so that keys sort by version and a range read returns the
// history in order.
std::string configuration_key(configuration_version version);
std::string to_text(const configuration_row& row);
result<configuration_row> parse_configuration_row(const std::string& text);
std::string head_to_text(configuration_version version);
result<configuration_version> parse_head(const std::string& text);

} // namespace hemlockdeal
