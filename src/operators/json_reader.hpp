// Reads the members of a JSON object and collects all validation errors.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include "core/finding.hpp"
#include "core/resources.hpp"
#include "core/time.hpp"

namespace hemlockdeal
{

// Larger JSON integers lose precision in parsers that use doubles.
inline constexpr std::int64_t max_json_integer = 1LL << 53;

// An invalid member adds a finding and reads as a default or empty value.
class json_reader
{
public:
    json_reader(const boost::json::object& object, std::string location,
                findings& found);

    std::string text(std::string_view key,
                     std::optional<std::string_view> fallback = {});
    // A string that is a valid id.
    std::string id(std::string_view key);
    bool boolean(std::string_view key, std::optional<bool> fallback = {});
    double number(std::string_view key, double low, double high,
                  std::optional<double> fallback = {});
    duration milliseconds(std::string_view key);
    // Empty if the member is null or absent.
    std::optional<duration> optional_milliseconds(std::string_view key);
    resources resource_amounts();

    template <typename Integer = std::int64_t>
    Integer integer(std::string_view key, std::int64_t low = 0,
                    std::optional<std::int64_t> fallback = {},
                    std::int64_t high = max_value<Integer>())
    {
        return static_cast<Integer>(read_integer(key, low, high, fallback));
    }

    std::vector<std::string> texts(std::string_view key);
    std::vector<json_reader> objects(std::string_view key);
    std::optional<json_reader> object(std::string_view key);

    // Members in document order, for objects that map names to numbers.
    const boost::json::object& members() const { return *object_; }

    void add(std::string_view key, std::string_view message);
    void reject_unknown_members();

private:
    template <typename Integer>
    static constexpr std::int64_t max_value()
    {
        return sizeof(Integer) < sizeof(std::int64_t)
                   ? static_cast<std::int64_t>(
                         std::numeric_limits<Integer>::max())
                   : max_json_integer;
    }

    std::int64_t read_integer(std::string_view key, std::int64_t low,
                              std::int64_t high,
                              std::optional<std::int64_t> fallback);
    const boost::json::value* find(std::string_view key, bool required);
    // The elements of an array member if all are of this kind; otherwise adds
    // a finding and returns null.
    const boost::json::array* elements(std::string_view key,
                                       boost::json::kind kind,
                                       const char* type_error);

    const boost::json::object* object_;
    std::string location_;
    findings* found_;
    std::vector<std::string> known_keys_;
};

// Parses a JSON object; adds a finding and returns an empty object if the
// text is anything else.
boost::json::object parse_object(std::string_view text, const std::string& name,
                                 findings& found);

// An integer for whole milliseconds, a floating-point number otherwise.
boost::json::value to_milliseconds(duration time);

} // namespace hemlockdeal
