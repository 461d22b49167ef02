// In-memory table with the transaction semantics of the platform's table
// service.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "core/core.hpp"

namespace hemlockdeal::test
{

class fake_table
{
public:
    // Injected fault: writes are applied without checking the expected version.
    bool ignores_expectations = false;

    commit_outcome commit(const table_commit& c)
    {
        commit_conflict conflict;
        std::ranges::for_each(c.checks, [&](const table_check& check) {
            if (version_of(check.key) != check.version)
            {
                conflict.rows.push_back(conflict_row(check.key));
            }
        });
        std::ranges::for_each(c.writes, [&](const table_write& write) {
            if (!ignores_expectations && !meets_expectation(write))
            {
                conflict.rows.push_back(conflict_row(write.key));
            }
        });
        if (!conflict.rows.empty())
        {
            return conflict;
        }
        commit_done done;
        std::ranges::for_each(c.writes, [&](const table_write& write) {
            if (!write.value)
            {
                rows_.erase(write.key);
                done.versions.emplace_back();
                return;
            }
            last_version_ = last_version_.next();
            rows_[write.key] = {write.key, last_version_, *write.value};
            done.versions.push_back(last_version_);
        });
        return done;
    }

    std::optional<table_row> row(const std::string& key) const
    {
        const auto found = rows_.find(key);
        return found == rows_.end() ? std::nullopt
                                    : std::optional(found->second);
    }

    table_page rows(const std::string& prefix, const std::string& after,
                    std::uint32_t limit) const
    {
        table_page page;
        auto next = rows_.lower_bound(prefix);
        if (after >= prefix)
        {
            next = rows_.upper_bound(after);
        }
        for (; next != rows_.end() && next->first.starts_with(prefix); ++next)
        {
            if (page.rows.size() == limit)
            {
                page.more = true;
                break;
            }
            page.rows.push_back(next->second);
        }
        return page;
    }

private:
    row_version version_of(const std::string& key) const
    {
        const auto found = rows_.find(key);
        return found == rows_.end() ? row_version() : found->second.version;
    }

    bool meets_expectation(const table_write& write) const
    {
        const auto version = version_of(write.key);
        if (std::holds_alternative<expect_absent>(write.expected))
        {
            return version == row_version();
        }
        const auto* expected = std::get_if<row_version>(&write.expected);
        return expected == nullptr || *expected == version;
    }

    commit_conflict::row conflict_row(const std::string& key) const
    {
        const auto found = row(key);
        return found ? commit_conflict::row{key, found->version, found->value}
                     : commit_conflict::row{key, row_version(), std::nullopt};
    }

    std::map<std::string, table_row> rows_;
    row_version last_version_;
};

} // namespace hemlockdeal::test
