// Reads members of JSON objects with error messages that name the member.
// Shared by the platform's clients and the stand-ins.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include <boost/json.hpp>

namespace hemlockdeal::json_fields
{

// Thrown by the functions below; the code that decodes a whole message turns
// it into an error.
class format_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

[[noreturn]] inline void fail(std::string_view name, std::string_view expected)
{
    throw format_error("member '" + std::string(name) + "' is not " +
                       std::string(expected));
}

inline boost::json::value parse(std::string_view text,
                                const boost::json::parse_options& options = {})
{
    boost::system::error_code ec;
    auto value =
        boost::json::parse(boost::json::string_view(text.data(), text.size()),
                           ec, boost::json::storage_ptr(), options);
    if (ec)
    {
        throw format_error("invalid JSON: " + ec.message());
    }
    return value;
}

inline const boost::json::object& object(const boost::json::value& value,
                                         std::string_view member)
{
    if (!value.is_object())
    {
        fail(member, "an object");
    }
    return value.get_object();
}

// Null when the member is absent or null.
inline const boost::json::value* find(const boost::json::object& from,
                                      std::string_view name)
{
    const auto* value =
        from.if_contains(boost::json::string_view(name.data(), name.size()));
    return value == nullptr || value->is_null() ? nullptr : value;
}

inline std::string text(const boost::json::object& from, std::string_view name)
{
    const auto* value = find(from, name);
    if (value == nullptr || !value->is_string())
    {
        fail(name, "a string");
    }
    return {value->get_string().data(), value->get_string().size()};
}

inline std::string text_or_empty(const boost::json::object& from,
                                 std::string_view name)
{
    return find(from, name) == nullptr ? std::string() : text(from, name);
}

inline std::int64_t integer(const boost::json::value& value,
                            std::string_view name)
{
    boost::system::error_code ec;
    const auto number = value.to_number<std::int64_t>(ec);
    if (ec)
    {
        fail(name, "an integer");
    }
    return number;
}

inline std::int64_t integer(const boost::json::object& from,
                            std::string_view name)
{
    const auto* value = find(from, name);
    if (value == nullptr)
    {
        fail(name, "an integer");
    }
    return integer(*value, name);
}

inline std::int64_t integer_or(const boost::json::object& from,
                               std::string_view name, std::int64_t fallback)
{
    const auto* value = find(from, name);
    return value == nullptr ? fallback : integer(*value, name);
}

inline std::uint64_t non_negative(std::int64_t number, std::string_view name)
{
    if (number < 0)
    {
        fail(name, "a non-negative integer");
    }
    return static_cast<std::uint64_t>(number);
}

inline std::uint64_t count(const boost::json::value& value,
                           std::string_view name)
{
    return non_negative(integer(value, name), name);
}

inline std::uint64_t count(const boost::json::object& from,
                           std::string_view name)
{
    return non_negative(integer(from, name), name);
}

inline std::uint64_t count_or(const boost::json::object& from,
                              std::string_view name, std::uint64_t fallback)
{
    return find(from, name) == nullptr ? fallback : count(from, name);
}

inline double number_or(const boost::json::object& from, std::string_view name,
                        double fallback)
{
    const auto* value = find(from, name);
    if (value == nullptr)
    {
        return fallback;
    }
    if (!value->is_number())
    {
        fail(name, "a number");
    }
    return value->to_number<double>();
}

inline const boost::json::array& array(const boost::json::object& from,
                                       std::string_view name)
{
    const auto* value = find(from, name);
    if (value == nullptr || !value->is_array())
    {
        fail(name, "an array");
    }
    return value->get_array();
}

} // namespace hemlockdeal::json_fields
