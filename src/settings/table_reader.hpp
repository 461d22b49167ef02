// Reads and validates the values of a TOML table and collects the findings.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Syntax errors are returned as values instead of thrown.
#define TOML_EXCEPTIONS 0
// toml++ 3.3 asserts that a table header begins with a key before it reports
// the syntax error. The assertion would abort debug builds.
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

    void add(const toml::source_position& position, std::string message);

    // Marks the document as incomplete after a syntax error: its remaining
    // parts are unknown, so missing keys are no longer reported.
    void set_incomplete() { incomplete_ = true; }
    void add_missing(const toml::source_position& position,
                     std::string message);

    bool incomplete() const { return incomplete_; }
    bool empty() const { return findings_.empty(); }

    // Removes and returns the findings, ordered by position.
    findings take();

private:
    std::string file_;
    findings findings_;
    bool incomplete_ = false;
};

// Bounds are inclusive.
struct integer_range
{
    std::int64_t min_value = 0;
    std::int64_t max_value = std::numeric_limits<std::uint32_t>::max();
};

// Typed access to the values of a table. An invalid value is reported as a
// finding and replaced with a placeholder, so that parsing continues.
class table_reader
{
public:
    table_reader(const toml::table& table, std::string name,
                 finding_list& found);

    std::string text(std::string_view key);
    // Returns an empty string if the value is not a valid ID.
    std::string id(std::string_view key);
    bool boolean_value(std::string_view key,
                       std::optional<bool> default_value = {});
    std::int64_t integer(std::string_view key, integer_range range,
                         std::optional<std::int64_t> default_value = {});
    double number(std::string_view key, double min_value, double max_value,
                  std::optional<double> default_value = {});
    duration time(std::string_view key, duration min_value, duration max_value);
    socket_address address(std::string_view key, bool port_0_allowed);
    std::string http_url(std::string_view key);
    std::string curve_key(std::string_view key);

    std::optional<table_reader> table(std::string_view key, bool required);
    std::vector<table_reader> tables(std::string_view key,
                                     bool required = false);

    // Position of the value, or of the table if the key is absent.
    toml::source_position position(std::string_view key) const;
    void add(std::string_view key, std::string message);

    // Reports unknown keys (those that were never read) and missing keys. A
    // misspelt key gives one finding instead of an unknown and a missing key.
    void check_keys();

private:
    const toml::node* find(std::string_view key);
    void add_missing(std::string_view key,
                     std::string_view description = "key '");
    void add_type_mismatch(std::string_view key, std::string_view expected);
    std::string qualified_name(std::string_view key) const;

    const toml::table* table_;
    std::string name_;
    finding_list* found_;
    std::vector<std::string> read_keys_;

    struct missing_key
    {
        std::string key;
        std::string message;
    };
    std::vector<missing_key> missing_keys_;
};

// Parses TOML. After a syntax error, the document is parsed again without the
// invalid lines, so that one run reports all errors.
toml::table parse_document(std::string_view text, finding_list& found);

// Returns the content of a file, or adds a finding and returns nothing.
std::optional<std::string> read_file(const std::string& path,
                                     finding_list& found);

} // namespace hemlockdeal
