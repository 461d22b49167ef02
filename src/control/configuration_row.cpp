// JSON encoding of the configuration rows.
#include "control/configuration_row.hpp"

#include <algorithm>
#include <iterator>

#include <boost/json.hpp>

namespace hemlockdeal
{

namespace
{

constexpr std::size_t version_digits = 12;

error invalid_row(const std::string& key, const std::string& reason)
{
    return error{error_code::invalid_input,
                 "the row " + key + " is not valid: " + reason};
}

} // namespace

std::string configuration_key(configuration_version version)
{
    const auto digits = std::to_string(version.value());
    const auto padding =
        version_digits - std::min(version_digits, digits.size());
    return configuration_prefix + std::string(padding, '0') + digits;
}

std::string to_text(const configuration_row& row)
{
    boost::json::array zones;
    std::ranges::transform(
        row.zones_out, std::back_inserter(zones),
        [](const auto& zone) { return boost::json::value(zone.value()); });
    const boost::json::object object{
        {"version", row.version.value()},
        {"text", row.text},
        {"zones_out", zones},
        {"author", row.author},
        {"accepted_at_unix_ms", row.accepted_at_unix_ms},
        {"change", row.change}};
    return boost::json::serialize(object);
}

result<configuration_row> parse_configuration_row(const std::string& text)
{
    try
    {
        const auto value = boost::json::parse(text);
        const auto& object = value.as_object();
        const auto string_field = [&](const char* name) {
            return boost::json::value_to<std::string>(object.at(name));
        };
        configuration_row row;
        row.version = configuration_version(
            object.at("version").to_number<std::uint64_t>());
        row.text = string_field("text");
        std::ranges::transform(
            object.at("zones_out").as_array(),
            std::back_inserter(row.zones_out), [](const auto& zone) {
                return availability_zone_id(
                    boost::json::value_to<std::string>(zone));
            });
        row.author = string_field("author");
        row.accepted_at_unix_ms =
            object.at("accepted_at_unix_ms").to_number<std::int64_t>();
        row.change = string_field("change");
        return row;
    }
    catch (const std::exception& e)
    {
        return invalid_row(configuration_prefix, e.what());
    }
}

std::string head_to_text(configuration_version version)
{
    return boost::json::serialize(
        boost::json::object{{"version", version.value()}});
}

result<configuration_version> parse_head(const std::string& text)
{
    try
    {
        const auto value = boost::json::parse(text);
        return configuration_version(
            value.as_object().at("version").to_number<std::uint64_t>());
    }
    catch (const std::exception& e)
    {
        return invalid_row(configuration_head_key, e.what());
    }
}

} // namespace hemlockdeal
