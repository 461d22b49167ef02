// Result type: a std::variant of a value and an error.
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace hemlockdeal
{

enum class error_code
{
    invalid_input,
    not_found,
    conflict,
    unavailable,
    timeout,
    outcome_unknown,
    permission_denied,
    overloaded
};

struct error
{
    error_code code = error_code::unavailable;
    std::string message;
};

template <typename T>
using result = std::variant<T, error>;

template <typename T>
bool is_ok(const result<T>& r)
{
    return std::holds_alternative<T>(r);
}

// Precondition: is_ok(r).
template <typename T>
const T& value_of(const result<T>& r)
{
    return std::get<T>(r);
}

template <typename T>
T&& value_of(result<T>&& r)
{
    return std::get<T>(std::move(r));
}

// Precondition: !is_ok(r).
template <typename T>
const error& error_of(const result<T>& r)
{
    return std::get<error>(r);
}

} // namespace hemlockdeal
