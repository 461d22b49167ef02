// Rows of a transaction of the leader, apart from its lease.
#pragma once

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "node/store_message.hpp"
#include "node/store_tables.hpp"

namespace hemlockdeal::node
{

struct change_part
{
    std::vector<row_write> writes;
    std::vector<row_name> deletes;

    std::size_t size() const { return writes.size() + deletes.size(); }
};

// The rows that the transaction changes beside the lease.
inline change_part changes_of(const transaction& t)
{
    change_part out;
    std::ranges::copy_if(
        t.writes, std::back_inserter(out.writes),
        [](const row_write& write) { return write.table != lease_table; });
    out.deletes = t.deletes;
    return out;
}

// Divides a part of at least two rows into halves.
inline std::pair<change_part, change_part> halves(const change_part& part)
{
    const auto half = part.size() / 2;
    std::pair<change_part, change_part> out;
    for (std::size_t i = 0; i < part.writes.size(); ++i)
    {
        auto& to = i < half ? out.first : out.second;
        to.writes.push_back(part.writes[i]);
    }
    for (std::size_t i = 0; i < part.deletes.size(); ++i)
    {
        auto& to = part.writes.size() + i < half ? out.first : out.second;
        to.deletes.push_back(part.deletes[i]);
    }
    return out;
}

// The job to which a row of the progress table belongs.
inline job_id job_of_progress_row(const std::string& key)
{
    const auto name = parse_history_key(key);
    return name ? name->job : job_id(key);
}

} // namespace hemlockdeal::node
