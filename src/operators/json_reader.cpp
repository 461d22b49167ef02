// Validating reader for JSON objects.
#include "operators/json_reader.hpp"

#include <algorithm>
#include <cmath>

#include "settings/settings.hpp"

namespace hemlockdeal
{

namespace json = boost::json;

namespace
{

// About 30 years; the limit keeps sums of durations from overflowing.
constexpr double max_milliseconds = 1e12;

} // namespace

json_reader::json_reader(const json::object& object, std::string location,
                         findings& found)
    : object_(&object), location_(std::move(location)), found_(&found)
{}

void json_reader::add(std::string_view key, std::string_view message)
{
    found_->push_back({{location_, 0, 0},
                       '\'' + std::string(key) + "' " + std::string(message)});
}

const json::value* json_reader::find(std::string_view key, bool required)
{
    known_keys_.emplace_back(key);
    const json::value* const value = object_->if_contains(key);
    if (value == nullptr && required)
    {
        add(key, "is missing");
    }
    return value;
}

std::string json_reader::text(std::string_view key,
                              std::optional<std::string_view> fallback)
{
    const json::value* const value = find(key, !fallback);
    if (value == nullptr)
    {
        return std::string(fallback.value_or(""));
    }
    if (!value->is_string())
    {
        add(key, "is not a text");
        return {};
    }
    return std::string(value->get_string());
}

std::string json_reader::id(std::string_view key)
{
    const std::size_t before = found_->size();
    std::string value = text(key);
    if (found_->size() == before && !is_valid_id(value))
    {
        add(key, "is no id: letters, digits, '-', '_' and '.', at most 63 "
                 "characters");
        return {};
    }
    return value;
}

bool json_reader::boolean(std::string_view key, std::optional<bool> fallback)
{
    const json::value* const value = find(key, !fallback);
    if (value == nullptr)
    {
        return fallback.value_or(false);
    }
    if (!value->is_bool())
    {
        add(key, "is neither true nor false");
        return false;
    }
    return value->get_bool();
}

double json_reader::number(std::string_view key, double low, double high,
                           std::optional<double> fallback)
{
    const json::value* const value = find(key, !fallback);
    if (value == nullptr)
    {
        return fallback.value_or(low);
    }
    json::error_code failure;
    const double read =
        value->is_number() ? value->to_number<double>(failure) : std::nan("");
    if (failure || !(read >= low && read <= high))
    {
        add(key, "is no number between " + std::to_string(low) + " and " +
                     std::to_string(high));
        return low;
    }
    return read;
}

std::int64_t json_reader::read_integer(std::string_view key, std::int64_t low,
                                       std::int64_t high,
                                       std::optional<std::int64_t> fallback)
{
    const json::value* const value = find(key, !fallback);
    if (value == nullptr)
    {
        return fallback.value_or(low);
    }
    json::error_code failure;
    const std::int64_t read =
        value->is_number() ? value->to_number<std::int64_t>(failure) : low - 1;
    if (failure || read < low || read > high)
    {
        add(key, "is no integer between " + std::to_string(low) + " and " +
                     std::to_string(high));
        return low;
    }
    return read;
}

duration json_reader::milliseconds(std::string_view key)
{
    return duration(std::llround(number(key, 0.0, max_milliseconds) * 1000.0));
}

std::optional<duration> json_reader::optional_milliseconds(std::string_view key)
{
    const json::value* const value = find(key, false);
    if (value == nullptr || value->is_null())
    {
        return std::nullopt;
    }
    return milliseconds(key);
}

resources json_reader::resource_amounts()
{
    resources read;
    read.processors.value = integer("processors_milli", 0, 0);
    read.memory.value = integer("memory_mb", 0, 0);
    read.accelerators.value = integer("accelerators", 0, 0);
    return read;
}

const json::array* json_reader::elements(std::string_view key, json::kind kind,
                                         const char* type_error)
{
    const json::value* const value = find(key, true);
    if (value == nullptr)
    {
        return nullptr;
    }
    const auto* const found = value->if_array();
    if (found == nullptr || !std::ranges::all_of(*found, [kind](const auto& e) {
            return e.kind() == kind;
        }))
    {
        add(key, type_error);
        return nullptr;
    }
    return found;
}

std::vector<std::string> json_reader::texts(std::string_view key)
{
    const auto* const found =
        elements(key, json::kind::string, "is not an array of texts");
    std::vector<std::string> read;
    if (found != nullptr)
    {
        std::ranges::transform(
            *found, std::back_inserter(read),
            [](const json::value& e) { return std::string(e.get_string()); });
    }
    return read;
}

std::vector<json_reader> json_reader::objects(std::string_view key)
{
    const auto* const found =
        elements(key, json::kind::object, "is not an array of objects");
    std::vector<json_reader> read;
    if (found != nullptr)
    {
        std::ranges::transform(
            *found, std::back_inserter(read), [&](const json::value& e) {
                return json_reader(e.get_object(),
                                   location_ + ": " + std::string(key),
                                   *found_);
            });
    }
    return read;
}

std::optional<json_reader> json_reader::object(std::string_view key)
{
    const json::value* const value = find(key, true);
    if (value == nullptr)
    {
        return std::nullopt;
    }
    if (!value->is_object())
    {
        add(key, "is not an object");
        return std::nullopt;
    }
    return json_reader(value->get_object(), location_ + ": " + std::string(key),
                       *found_);
}

void json_reader::reject_unknown_members()
{
    for (const auto& member : *object_)
    {
        const std::string_view key(member.key());
        if (std::ranges::find(known_keys_, key) == known_keys_.end())
        {
            add(key, "is not known");
        }
    }
}

json::object parse_object(std::string_view text, const std::string& name,
                          findings& found)
{
    json::error_code failure;
    json::value value = json::parse(text, failure);
    if (failure)
    {
        found.push_back({{name, 0, 0}, "is not JSON: " + failure.message()});
        return {};
    }
    if (!value.is_object())
    {
        found.push_back({{name, 0, 0}, "is not a JSON object"});
        return {};
    }
    return std::move(value.get_object());
}

json::value to_milliseconds(duration time)
{
    if (time.count() % 1000 == 0)
    {
        return time.count() / 1000;
    }
    return static_cast<double>(time.count()) / 1000.0;
}

} // namespace hemlockdeal
