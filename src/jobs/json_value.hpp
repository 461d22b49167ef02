// Lenient accessors for JSON values that the scheduler itself wrote.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/json.hpp>

#include "core/core.hpp"

namespace hemlockdeal::jobs
{

inline std::int64_t integer_of(const boost::json::value& value,
                               std::int64_t fallback = 0)
{
    boost::json::error_code error;
    const auto number = value.to_number<std::int64_t>(error);
    return error ? fallback : number;
}

inline std::int64_t integer_in(const boost::json::object& object,
                               std::string_view name)
{
    const auto* const found = object.if_contains(name);
    return found == nullptr ? 0 : integer_of(*found);
}

// Empty unless the value is a whole number that is not negative.
inline std::optional<store_time> store_time_of(const boost::json::value& value)
{
    boost::json::error_code error;
    const auto count = value.to_number<std::int64_t>(error);
    return error || count < 0
               ? std::nullopt
               : std::optional(store_time(std::chrono::milliseconds(count)));
}

inline double real_in(const boost::json::object& object, std::string_view name)
{
    const auto* const found = object.if_contains(name);
    if (found == nullptr)
    {
        return 0.0;
    }
    boost::json::error_code error;
    const auto number = found->to_number<double>(error);
    return error ? 0.0 : number;
}

inline std::string text_in(const boost::json::object& object,
                           std::string_view name)
{
    const auto* const found = object.if_contains(name);
    const auto* const text = found == nullptr ? nullptr : found->if_string();
    return text == nullptr ? std::string{}
                           : std::string(text->data(), text->size());
}

inline const boost::json::array& list_in(const boost::json::object& object,
                                         std::string_view name)
{
    static const boost::json::array none;
    const auto* const found = object.if_contains(name);
    const auto* const list = found == nullptr ? nullptr : found->if_array();
    return list == nullptr ? none : *list;
}

} // namespace hemlockdeal::jobs
