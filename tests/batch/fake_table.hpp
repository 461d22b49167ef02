// Table service of the tests: rows with versions and whole transactions.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "core/core.hpp"

namespace hemlockdeal::test
{

class fake_table
{
public:
    commit_outcome commit(const table_commit& c)
    {
        commit_conflict conflict;
        const auto require = [&](const std::string& key, row_version version) {
            if (version_of(key) != version)
            {
                conflict.rows.push_back({key, version_of(key), value_of(key)});
            }
        };
        for (const table_check& check : c.checks)
        {
            require(check.key, check.version);
        }
        for (const table_write& write : c.writes)
        {
            if (std::holds_alternative<expect_absent>(write.expected))
            {
                require(write.key, row_version());
            }
            else if (const auto* v = std::get_if<row_version>(&write.expected))
            {
                require(write.key, *v);
            }
        }
        if (!conflict.rows.empty())
        {
            return conflict;
        }
        if (before_commit)
        {
            before_commit(c);
        }
        commit_done done;
        writes += c.writes.size();
        ++commits;
        for (const table_write& write : c.writes)
        {
            if (write.value)
            {
                version_ = version_.next();
                rows_[write.key] = {write.key, version_, *write.value};
                done.versions.push_back(version_);
            }
            else
            {
                rows_.erase(write.key);
                done.versions.emplace_back();
            }
        }
        return done;
    }

    std::optional<table_row> row(const std::string& key) const
    {
        const auto found = rows_.find(key);
        if (found == rows_.end())
        {
            return std::nullopt;
        }
        return found->second;
    }

    table_page rows(const read_rows& read) const
    {
        table_page page;
        for (auto i = rows_.lower_bound(std::max(read.prefix, read.after));
             i != rows_.end() && i->first.starts_with(read.prefix); ++i)
        {
            if (i->first == read.after)
            {
                continue;
            }
            if (page.rows.size() == read.limit)
            {
                page.more = true;
                break;
            }
            page.rows.push_back(i->second);
        }
        return page;
    }

    // Called with each commit that takes effect, before it does.
    std::function<void(const table_commit&)> before_commit;
    std::size_t writes = 0;
    std::size_t commits = 0;

private:
    row_version version_of(const std::string& key) const
    {
        const auto found = rows_.find(key);
        return found == rows_.end() ? row_version() : found->second.version;
    }

    std::optional<std::string> value_of(const std::string& key) const
    {
        const auto found = rows_.find(key);
        if (found == rows_.end())
        {
            return std::nullopt;
        }
        return found->second.value;
    }

    row_version version_;
    std::map<std::string, table_row> rows_;
};

} // namespace hemlockdeal::test
