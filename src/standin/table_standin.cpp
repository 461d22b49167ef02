// Implements reads and conditional commits of the in-memory table.
#include "standin/table_standin.hpp"

#include <algorithm>
#include <charconv>

#include "core/table.hpp"
#include "platform/json_fields.hpp"
#include "standin/run_record.hpp"

namespace hemlockdeal
{

namespace json = boost::json;

namespace
{

const json::array& array_or_empty(const json::object& from, const char* name)
{
    static const json::array empty;
    return json_fields::find(from, name) == nullptr
               ? empty
               : json_fields::array(from, name);
}

} // namespace

http_reply table_standin::serve(const http_request& request)
{
    const auto path = path_of(request.target);
    if (request.method == "POST" && path == "/table/commit")
    {
        const auto message = json_fields::parse(request.body);
        return commit(json_fields::object(message, "commit"));
    }
    if (request.method == "GET" && path == "/table/row")
    {
        record_.count_read();
        return read_row(query_item(request.target, "key"));
    }
    if (request.method == "GET" && path == "/table/rows")
    {
        record_.count_read();
        const auto limit = query_item(request.target, "limit");
        std::size_t rows = 100;
        std::from_chars(limit.data(), limit.data() + limit.size(), rows);
        return read_rows(query_item(request.target, "prefix"),
                         query_item(request.target, "after"), rows);
    }
    return {404, R"({"error": "no such path"})"};
}

std::uint64_t table_standin::version_of(const std::string& key) const
{
    const auto found = rows_.find(key);
    return found == rows_.end() ? 0 : found->second.version;
}

json::array table_standin::conflicts(const json::object& message) const
{
    json::array out;
    const auto compare = [&](const json::value& item, const char* member) {
        const auto& entry = json_fields::object(item, member);
        const auto key = json_fields::text(entry, "key");
        const auto expected = json_fields::integer(entry, member);
        if (expected < 0 ||
            version_of(key) == static_cast<std::uint64_t>(expected))
        {
            return;
        }
        const auto found = rows_.find(key);
        json::value value = nullptr;
        if (found != rows_.end())
        {
            value = found->second.value;
        }
        out.push_back(
            {{"key", key}, {"version", version_of(key)}, {"value", value}});
    };
    std::ranges::for_each(
        array_or_empty(message, "checks"),
        [&](const json::value& check) { compare(check, "version"); });
    std::ranges::for_each(
        json_fields::array(message, "writes"),
        [&](const json::value& write) { compare(write, "expect"); });
    return out;
}

// Returns the new version of the row, 0 when the write deletes it.
std::uint64_t table_standin::apply(const json::object& write)
{
    const auto key = json_fields::text(write, "key");
    ++last_version_;
    if (json_fields::find(write, "value") == nullptr)
    {
        rows_.erase(key);
        return 0;
    }
    rows_[key] = {last_version_, json_fields::text(write, "value")};
    return last_version_;
}

http_reply table_standin::commit(const json::object& message)
{
    json_fields::text(message, "id");
    const auto& writes = json_fields::array(message, "writes");
    if (writes.size() > max_writes_per_commit)
    {
        return {400, R"({"error": "more than 64 writes"})"};
    }
    // All writes are validated before any is applied, so that a malformed one
    // does not leave a partial commit.
    std::ranges::for_each(writes, [](const json::value& write) {
        json_fields::text_or_empty(json_fields::object(write, "writes"),
                                   "value");
    });
    auto conflicting = conflicts(message);
    if (!conflicting.empty())
    {
        record_.count_conflict();
        return {409, json::serialize(
                         json::object{{"conflicts", std::move(conflicting)}})};
    }
    json::object versions;
    std::ranges::for_each(writes, [&](const json::value& write) {
        const auto& entry = write.get_object();
        versions[json_fields::text(entry, "key")] = apply(entry);
    });
    record_.count_commit(writes.size());
    return {200,
            json::serialize(json::object{{"versions", std::move(versions)}})};
}

http_reply table_standin::read_row(const std::string& key) const
{
    const auto found = rows_.find(key);
    if (found == rows_.end())
    {
        return {404, R"({"error": "no such row"})"};
    }
    return {200,
            json::serialize(json::object{{"key", key},
                                         {"version", found->second.version},
                                         {"value", found->second.value}})};
}

http_reply table_standin::read_rows(const std::string& prefix,
                                    const std::string& after,
                                    std::size_t limit) const
{
    auto row =
        after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
    json::array out;
    const auto in_range = [&] {
        return row != rows_.end() && row->first.starts_with(prefix);
    };
    for (; in_range() && out.size() < limit; ++row)
    {
        out.push_back({{"key", row->first},
                       {"version", row->second.version},
                       {"value", row->second.value}});
    }
    return {200, json::serialize(json::object{{"rows", std::move(out)},
                                              {"more", in_range()}})};
}

} // namespace hemlockdeal
