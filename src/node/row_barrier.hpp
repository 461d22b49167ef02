// Keeps one row that fails to be handled from affecting the others.
#pragma once

#include <exception>
#include <vector>

#include "node/store_message.hpp"
#include "observe/logging.hpp"

namespace hemlockdeal::node
{

// Calls `handle` for each row. A row for which it throws is logged and skipped:
// otherwise each leader in turn would stop at the same row.
template <typename Handler>
void handle_each_row(const std::vector<stored_row>& rows, const Handler& handle)
{
    for (const auto& row : rows)
    {
        try
        {
            handle(row);
        }
        catch (const std::exception& e)
        {
            log(log_level::error, "stored row was skipped",
                {{"table", row.table}, {"key", row.key}, {"error", e.what()}});
        }
    }
}

} // namespace hemlockdeal::node
