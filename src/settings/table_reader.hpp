// Reads the values of one TOML table and collects what is wrong with them.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// A syntax error comes back as a value, not as an exception.
#define TOML_EXCEPTIONS 0
// toml++ 3.3 asserts that a table header begins with a key, and then reports
// it as a syntax error if it does not. The assertion would end debug builds.
#define TOML_ASSERT(expr) static_assert(true)
#include <toml++/toml.h>

#include "core/finding.hpp"
#include "core/time.hpp"
#include "settings/daemon_settings.hpp"

namespace hemlockdeal
{

// Findings of one document.
class finding_list
{
public:
    explicit finding_list(std::string file) : file_(std::move(file)) {}

    void add(const toml::source_position& place, std::string message);

    // After a syntax error parts of the document are missing, so that a
    // missing key is no finding of its own.
    void set_incomplete() { incomplete_ = true; }
    void add_missing(const toml::source_position& place, std::string message);

    bool incomplete() const { return incomplete_; }
    bool empty() const { return findings_.empty(); }

    // Takes the findings out, in the order of their places.
    findings take();

private:
    std::string file_;
    findings findings_;
    bool incomplete_ = false;
};

// Bounds are inclusive.
struct integer_range
{
    std::int64_t low = 0;
    std::int64_t high = std::numeric_limits<std::uint32_t>::max();
};

// A value that has a finding reads as the default, or as an empty value.
class table_reader
{
public:
    table_reader(const toml::table& table, std::string name,
                 finding_list& found);

    std::string text(std::string_view key);
    // Empty when the value is not a valid id.
    std::string id(std::string_view key);
    bool flag(std::string_view key, std::optional<bool> fallback = {});
    std::int64_t integer(std::string_view key, integer_range range,
                         std::optional<std::int64_t> fallback = {});
    double number(std::string_view key, double low, double high,
                  std::optional<double> fallback = {});
    duration time(std::string_view key, duration low, duration high);
    socket_address address(std::string_view key, bool port_0_allowed);
    std::string http_url(std::string_view key);
    std::string curve_key(std::string_view key);

    std::optional<table_reader> table(std::string_view key, bool required);
    std::vector<table_reader> tables(std::string_view key,
                                     bool required = false);

    // Place of the value, or of the table when the key is absent.
    toml::source_position place(std::string_view key) const;
    void add(std::string_view key, std::string message);

    // Reports the keys that were never asked for and those that are missing.
    // A misspelt key is one finding, not an unknown and a missing key.
    void finish();

private:
    const toml::node* find(std::string_view key);
    void add_missing(std::string_view key, std::string_view form = "key '");
    void add_wrong_type(std::string_view key, std::string_view expected);
    std::string qualified(std::string_view key) const;

    const toml::table* table_;
    std::string name_;
    finding_list* found_;
    std::vector<std::string> known_keys_;

    struct missing_key
    {
        std::string key;
        std::string message;
    };
    std::vector<missing_key> missing_keys_;
};

// Parses TOML. After a syntax error the rest of the document is still read
// without the lines at fault, so that all mistakes are found at once.
toml::table parse_document(std::string_view text, finding_list& found);

// Reads a file, or adds a finding and returns nothing.
std::optional<std::string> read_file(const std::string& path,
                                     finding_list& found);

} // namespace hemlockdeal
