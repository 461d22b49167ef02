// Calls to the platform's transactional row store and their outcomes.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/core.hpp"

namespace hemlockdeal::node
{

struct stored_row
{
    std::string table;
    std::string part;
    std::string key;
    std::string value;
    row_version version;
    // In a feed: the row was deleted.
    bool is_removed = false;
};

// The row must have this version; 0 means that it must not exist.
struct row_condition
{
    std::string table;
    std::string key;
    row_version version;
};

struct row_write
{
    std::string table;
    std::string key;
    std::string value;
};

struct row_name
{
    std::string table;
    std::string key;
};

// Atomic over the rows of one part.
struct transaction
{
    std::string part;
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
    std::vector<row_name> deletes;
};

struct committed
{
    row_version version;
    // The store's clock, if the response names it.
    std::optional<store_time> store_now{};
};

// A condition did not hold; nothing was written.
struct conflict
{
    // Current state of the rows that the conditions name.
    std::vector<stored_row> current;
};

// The store refused the call for now or could not be reached; nothing was
// executed.
struct not_done
{
    std::string reason;
};

// The store does not accept the call as it is, for example because a row is too
// large; nothing was executed. Repeating the call cannot succeed.
struct rejected
{
    std::string reason;
};

// The call may have been executed, or may still be.
struct outcome_unknown
{
    std::string reason;
};

using transaction_outcome =
    std::variant<committed, conflict, not_done, rejected, outcome_unknown>;

// Rows with from <= key < to; an empty `to` means no bound.
struct row_range
{
    std::string table;
    std::string part;
    std::string from;
    std::string to;
    std::size_t limit = 500;
};

struct read_rows
{
    std::vector<stored_row> rows;
    bool has_more = false;
    // The last key that the page names, also if its row cannot be decoded. The
    // next page follows it.
    std::string last_key;
    // The newest version in the store at the time of the read.
    row_version newest;
    // The store's clock, if the response names it.
    std::optional<store_time> store_now{};
};

using read_outcome = std::variant<read_rows, not_done>;

// The feed's position is older than the history that the store keeps.
struct history_lost
{};

using feed_outcome = std::variant<read_rows, history_lost, not_done>;

} // namespace hemlockdeal::node
