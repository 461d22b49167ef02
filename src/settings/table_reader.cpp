// Typed access to TOML tables.
#include "settings/table_reader.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "settings/settings.hpp"
#include "settings/text_checks.hpp"

namespace hemlockdeal
{

namespace
{

std::string to_text(double value)
{
    std::array<char, 32> buffer{};
    (void)std::snprintf(buffer.data(), buffer.size(), "%.12g", value);
    return buffer.data();
}

std::string to_text(duration value)
{
    const auto us = value.count();
    if (us % 3600'000'000 == 0)
    {
        return std::to_string(us / 3600'000'000) + " h";
    }
    if (us % 1'000'000 == 0)
    {
        return std::to_string(us / 1'000'000) + " s";
    }
    return us % 1000 == 0 ? std::to_string(us / 1000) + " ms"
                          : std::to_string(us) + " us";
}

std::string_view type_name(const toml::node& node)
{
    switch (node.type())
    {
    case toml::node_type::string:
        return "a text";
    case toml::node_type::integer:
        return "an integer";
    case toml::node_type::floating_point:
        return "a number";
    case toml::node_type::boolean:
        return "true or false";
    case toml::node_type::array:
        return "an array";
    case toml::node_type::table:
        return "a table";
    default:
        return "a date or time";
    }
}

} // namespace

table_reader::table_reader(const toml::table& table, std::string name,
                           finding_list& found)
    : table_(&table), name_(std::move(name)), found_(&found)
{}

const toml::node* table_reader::find(std::string_view key)
{
    read_keys_.emplace_back(key);
    return table_->get(key);
}

std::string table_reader::qualified_name(std::string_view key) const
{
    return name_.empty() ? std::string(key) : name_ + '.' + std::string(key);
}

toml::source_position table_reader::position(std::string_view key) const
{
    const toml::node* const node = table_->get(key);
    return node == nullptr ? table_->source().begin : node->source().begin;
}

void table_reader::add(std::string_view key, std::string message)
{
    found_->add(position(key), std::move(message));
}

void table_reader::add_missing(std::string_view key,
                               std::string_view description)
{
    const std::string_view close = description == "key '"     ? "'"
                                   : description == "table [" ? "]"
                                                              : "]]";
    missing_keys_.push_back(
        {std::string(key), "the " + std::string(description) +
                               qualified_name(key) + std::string(close) +
                               " is missing"});
}

void table_reader::add_type_mismatch(std::string_view key,
                                     std::string_view expected)
{
    add(key, "'" + qualified_name(key) + "' is " +
                 std::string(type_name(*table_->get(key))) + ", not " +
                 std::string(expected));
}

std::string table_reader::text(std::string_view key)
{
    const toml::node* const node = find(key);
    if (node == nullptr)
    {
        add_missing(key);
        return {};
    }
    const auto* const value = node->as_string();
    if (value == nullptr)
    {
        add_type_mismatch(key, "a text");
        return {};
    }
    if (value->get().empty())
    {
        add(key, "'" + qualified_name(key) + "' is empty");
    }
    if (!std::ranges::all_of(value->get(),
                             [](char c) { return c >= ' ' && c <= '~'; }))
    {
        add(key, "'" + qualified_name(key) +
                     "' holds characters other than printable ASCII");
        return {};
    }
    return value->get();
}

std::string table_reader::id(std::string_view key)
{
    std::string value = text(key);
    if (!value.empty() && !is_valid_id(value))
    {
        add(key, "'" + qualified_name(key) +
                     "' may hold letters, digits, '-', '_' and '.', and at "
                     "most 63 characters");
        return {};
    }
    return value;
}

bool table_reader::boolean_value(std::string_view key,
                                 std::optional<bool> default_value)
{
    const toml::node* const node = find(key);
    if (node == nullptr)
    {
        if (!default_value)
        {
            add_missing(key);
        }
        return default_value.value_or(false);
    }
    if (!node->is_boolean())
    {
        add_type_mismatch(key, "true or false");
        return false;
    }
    return node->as_boolean()->get();
}

std::int64_t table_reader::integer(std::string_view key, integer_range range,
                                   std::optional<std::int64_t> default_value)
{
    const toml::node* const node = find(key);
    if (node == nullptr)
    {
        if (!default_value)
        {
            add_missing(key);
        }
        return default_value.value_or(range.min_value);
    }
    if (!node->is_integer())
    {
        add_type_mismatch(key, "an integer");
        return range.min_value;
    }
    const std::int64_t value = node->as_integer()->get();
    if (value < range.min_value || value > range.max_value)
    {
        add(key, "'" + qualified_name(key) + "' is " + std::to_string(value) +
                     ", not between " + std::to_string(range.min_value) +
                     " and " + std::to_string(range.max_value));
        return range.min_value;
    }
    return value;
}

double table_reader::number(std::string_view key, double min_value,
                            double max_value,
                            std::optional<double> default_value)
{
    const toml::node* const node = find(key);
    if (node == nullptr)
    {
        if (!default_value)
        {
            add_missing(key);
        }
        return default_value.value_or(min_value);
    }
    if (!node->is_number())
    {
        add_type_mismatch(key, "a number");
        return min_value;
    }
    const double value = *node->value<double>();
    // Negated, so that NaN is rejected too.
    if (!(value >= min_value && value <= max_value))
    {
        add(key, "'" + qualified_name(key) + "' is " + to_text(value) +
                     ", not between " + to_text(min_value) + " and " +
                     to_text(max_value));
        return min_value;
    }
    return value;
}

duration table_reader::time(std::string_view key, duration min_value,
                            duration max_value)
{
    const std::string value = text(key);
    if (value.empty())
    {
        return min_value;
    }
    const auto parsed = parse_duration(value);
    if (!parsed)
    {
        add(key, "'" + qualified_name(key) +
                     "' is not a time such as \"800 ms\", \"2 s\", \"5 min\", "
                     "\"6 h\" or \"7 d\"");
        return min_value;
    }
    if (*parsed < min_value || *parsed > max_value)
    {
        add(key, "'" + qualified_name(key) + "' is " + value +
                     ", not between " + to_text(min_value) + " and " +
                     to_text(max_value));
        return min_value;
    }
    return *parsed;
}

socket_address table_reader::address(std::string_view key, bool port_0_allowed)
{
    const std::string value = text(key);
    if (value.empty())
    {
        return {};
    }
    const auto parsed = parse_address(value);
    if (!parsed || (parsed->port == 0 && !port_0_allowed))
    {
        add(key, "'" + qualified_name(key) +
                     "' is not an IP number and a port such as "
                     "\"127.0.0.1:8080\"");
        return {};
    }
    return *parsed;
}

std::string table_reader::http_url(std::string_view key)
{
    std::string value = text(key);
    if (!value.empty() && !is_http_address(value))
    {
        add(key, "'" + qualified_name(key) +
                     "' is not of the form \"http://127.0.0.1:9000\"");
    }
    return value;
}

std::string table_reader::curve_key(std::string_view key)
{
    std::string value = text(key);
    if (!value.empty() && !is_curve_key(value))
    {
        add(key, "'" + qualified_name(key) +
                     "' is not a CURVE key of 40 Z85 characters");
    }
    return value;
}

std::optional<table_reader> table_reader::table(std::string_view key,
                                                bool required)
{
    const toml::node* const node = find(key);
    if (node == nullptr)
    {
        if (required)
        {
            add_missing(key, "table [");
        }
        return std::nullopt;
    }
    if (!node->is_table())
    {
        add_type_mismatch(key, "a table");
        return std::nullopt;
    }
    return table_reader(*node->as_table(), qualified_name(key), *found_);
}

std::vector<table_reader> table_reader::tables(std::string_view key,
                                               bool required)
{
    const toml::node* const node = find(key);
    if (node == nullptr || (node->is_array() && node->as_array()->empty()))
    {
        if (required)
        {
            add_missing(key, "table [[");
        }
        return {};
    }
    if (!node->is_array())
    {
        add_type_mismatch(key, "an array of tables");
        return {};
    }
    std::vector<table_reader> readers;
    for (const toml::node& element : *node->as_array())
    {
        if (const auto* const inner = element.as_table())
        {
            readers.emplace_back(*inner, qualified_name(key), *found_);
            continue;
        }
        found_->add(element.source().begin,
                    "'" + qualified_name(key) + "' holds " +
                        std::string(type_name(element)) + ", not a table");
    }
    return readers;
}

void table_reader::check_keys()
{
    for (const auto& [key, value] : *table_)
    {
        const std::string name(key.str());
        if (std::ranges::find(read_keys_, name) != read_keys_.end())
        {
            continue;
        }
        std::string message = "unknown key '" + qualified_name(name) + "'";
        if (const auto nearest = nearest_name(name, read_keys_))
        {
            message += "; did you mean '" + *nearest + "'?";
            std::erase_if(missing_keys_, [&](const missing_key& missing) {
                return missing.key == *nearest;
            });
        }
        found_->add(key.source().begin, std::move(message));
    }
    for (const missing_key& missing : missing_keys_)
    {
        found_->add_missing(position(missing.key), missing.message);
    }
}

} // namespace hemlockdeal
