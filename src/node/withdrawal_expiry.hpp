// Withdrawals that the leader removes from the store once they are old.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "node/store_message.hpp"
#include "node/store_tables.hpp"

namespace hemlockdeal::node
{

class withdrawal_expiry
{
public:
    // The store contains the row of a withdrawal. A leader counts its age from
    // when it has seen it first.
    void note(const stored_row& row, time_point now)
    {
        const bool is_new = !rows_.contains(row.key);
        if (is_new && rows_.size() >= max_rows)
        {
            return;
        }
        auto& noted = rows_[row.key];
        if (is_new || noted.version != row.version)
        {
            noted = {row.version, now};
        }
    }

    // Deletes rows of one part that have become too old; empty if there are
    // none or the last deletion has not been answered.
    std::optional<transaction> take_due(time_point now)
    {
        if (is_deleting_ || now < next_check_)
        {
            return std::nullopt;
        }
        next_check_ = now + check_interval;
        transaction t;
        for (const auto& [key, noted] : rows_)
        {
            if (now - noted.seen_at < withdrawal_lifetime ||
                t.deletes.size() >= max_deletes)
            {
                continue;
            }
            const auto part = inbox_part(job_of_withdrawal(key));
            if (t.part.empty() || t.part == part)
            {
                t.part = part;
                t.conditions.push_back({inbox_table, key, noted.version});
                t.deletes.push_back({inbox_table, key});
            }
        }
        if (t.deletes.empty())
        {
            return std::nullopt;
        }
        is_deleting_ = true;
        return t;
    }

    // The outcome of the transaction of the last `take_due()`. Rows that are
    // gone or have changed are forgotten: a next leader finds what is left.
    void on_outcome(const transaction& t, bool is_settled)
    {
        is_deleting_ = false;
        if (!is_settled)
        {
            return;
        }
        for (const auto& row : t.deletes)
        {
            rows_.erase(row.key);
        }
    }

    std::size_t size() const { return rows_.size(); }

    static constexpr std::size_t max_rows = 20000;

private:
    struct noted_row
    {
        row_version version;
        time_point seen_at{};
    };

    static constexpr duration check_interval = std::chrono::seconds(1);
    // A transaction holds a condition and a deletion for each row, 100 entries
    // in all.
    static constexpr std::size_t max_deletes = 50;

    // By key.
    std::map<std::string, noted_row> rows_;
    bool is_deleting_ = false;
    time_point next_check_{};
};

} // namespace hemlockdeal::node
