// In-memory transactional table. The simulation models lost requests and
// responses; a lost commit may still take effect later.
#pragma once

#include <map>
#include <string>

#include "core/core.hpp"

namespace hemlockdeal
{

class fake_table
{
public:
    commit_outcome apply(const table_commit& commit)
    {
        commit_conflict conflict;
        for (const table_write& w : commit.writes)
        {
            if (!is_expected(w))
            {
                conflict.rows.push_back(current(w.key));
            }
        }
        if (!conflict.rows.empty())
        {
            return conflict;
        }
        commit_done done;
        for (const table_write& w : commit.writes)
        {
            done.versions.push_back(write(w));
        }
        return done;
    }

    std::optional<table_row> read(const std::string& key) const
    {
        const auto found = rows_.find(key);
        return found == rows_.end() ? std::nullopt
                                    : std::optional(found->second);
    }

private:
    bool is_expected(const table_write& w) const
    {
        const auto found = rows_.find(w.key);
        if (const auto* version = std::get_if<row_version>(&w.expected))
        {
            return found != rows_.end() && found->second.version == *version;
        }
        return std::holds_alternative<expect_any>(w.expected) ||
               found == rows_.end();
    }

    commit_conflict::row current(const std::string& key) const
    {
        const auto found = rows_.find(key);
        if (found == rows_.end())
        {
            return {key, row_version(), std::nullopt};
        }
        return {key, found->second.version, found->second.value};
    }

    row_version write(const table_write& w)
    {
        last_ = last_.next();
        if (!w.value)
        {
            rows_.erase(w.key);
            return row_version();
        }
        rows_[w.key] = {w.key, last_, *w.value};
        return last_;
    }

    std::map<std::string, table_row> rows_;
    row_version last_;
};

} // namespace hemlockdeal
