// Messages to and from the platform's transactional table service.
#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.hpp"
#include "core/result.hpp"

namespace hemlockdeal
{

// The table refuses larger commits.
inline constexpr std::size_t max_writes_per_commit = 64;

struct table_row
{
    std::string key;
    row_version version;
    std::string value;
};

// The row must have this version for the commit to take effect.
struct table_check
{
    std::string key;
    row_version version;
};

// What a write expects of the row before it.
struct expect_absent
{};
struct expect_any
{};
using table_expectation = std::variant<expect_absent, expect_any, row_version>;

// Sets the row, or deletes it when `value` is empty.
struct table_write
{
    std::string key;
    table_expectation expected;
    std::optional<std::string> value;
};

// All of it takes effect or nothing.
struct table_commit
{
    commit_id id;
    std::vector<table_check> checks;
    std::vector<table_write> writes;
};

struct commit_done
{
    // In the order of the commit's writes; a deleted row has version 0.
    std::vector<row_version> versions;
};

// Rows that did not meet a check or an expectation; a version of 0 and no
// value mean that the row is absent.
struct commit_conflict
{
    struct row
    {
        std::string key;
        row_version version;
        std::optional<std::string> value;
    };
    std::vector<row> rows;
};

// No answer arrived: the commit may have taken effect or not.
struct commit_unknown
{
    std::string reason;
};

using commit_outcome =
    std::variant<commit_done, commit_conflict, commit_unknown>;

// Key of the row that holds the lease of an entry VM.
inline std::string lease_key(const vm_id& vm)
{
    return "lease/" + vm.value();
}

struct table_page
{
    std::vector<table_row> rows;
    bool more = false;
};

} // namespace hemlockdeal
