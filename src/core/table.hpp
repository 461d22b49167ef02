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

// The table rejects commits with more writes.
inline constexpr std::size_t max_writes_per_commit = 64;

struct table_row
{
    std::string key;
    row_version version;
    std::string value;
};

// Precondition of a commit: the row has this version.
struct table_check
{
    std::string key;
    row_version version;
};

// Precondition of a write: the row is absent, in any state, or has a version.
struct expect_absent
{};
struct expect_any
{};
using table_expectation = std::variant<expect_absent, expect_any, row_version>;

// Sets the row, or deletes it if `value` is empty.
struct table_write
{
    std::string key;
    table_expectation expected;
    std::optional<std::string> value;
};

// Atomic: either all writes take effect or none.
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

// Rows that failed a check or an expectation. A version of 0 without a value
// means that the row is absent.
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

// No response was received; the commit may or may not have taken effect.
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
