// Client of the platform's transactional table service. Only this file depends
// on its protocol.
#include "platform/table_client.hpp"

#include <algorithm>
#include <utility>

#include <QUrlQuery>

#include "platform/response.hpp"

namespace hemlockdeal
{

namespace
{

namespace json = boost::json;
const std::string service_name = "table";

std::int64_t expected_version(const table_expectation& expected)
{
    if (std::holds_alternative<expect_absent>(expected))
    {
        return 0;
    }
    if (std::holds_alternative<expect_any>(expected))
    {
        return -1;
    }
    return static_cast<std::int64_t>(std::get<row_version>(expected).value());
}

json::value encode(const table_write& write)
{
    json::object out;
    out["key"] = write.key;
    out["expect"] = expected_version(write.expected);
    if (write.value)
    {
        out["value"] = *write.value;
    }
    else
    {
        out["value"] = nullptr;
    }
    return out;
}

QByteArray encode(const table_commit& commit)
{
    json::array checks;
    std::ranges::for_each(commit.checks, [&](const table_check& check) {
        checks.push_back(
            {{"key", check.key}, {"version", check.version.value()}});
    });
    json::array writes;
    std::ranges::for_each(commit.writes, [&](const table_write& write) {
        writes.push_back(encode(write));
    });
    return QByteArray::fromStdString(
        json::serialize(json::object{{"id", commit.id.value()},
                                     {"checks", std::move(checks)},
                                     {"writes", std::move(writes)}}));
}

table_row decode_row(const json::object& row)
{
    return {json_fields::text(row, "key"),
            row_version(json_fields::count(row, "version")),
            json_fields::text(row, "value")};
}

commit_done decode_done(const json::object& response,
                        const std::vector<std::string>& keys)
{
    const auto* member = json_fields::find(response, "versions");
    if (member == nullptr)
    {
        json_fields::fail("versions", "an object");
    }
    const auto& versions = json_fields::object(*member, "versions");
    commit_done done;
    std::ranges::for_each(keys, [&](const std::string& key) {
        done.versions.emplace_back(json_fields::count(versions, key));
    });
    return done;
}

commit_conflict decode_conflict(const json::object& response)
{
    commit_conflict conflict;
    const auto& rows = json_fields::array(response, "conflicts");
    std::ranges::for_each(rows, [&](const json::value& item) {
        const auto& row = json_fields::object(item, "conflicts");
        const auto present = json_fields::find(row, "value") != nullptr;
        conflict.rows.push_back(
            {json_fields::text(row, "key"),
             row_version(json_fields::count(row, "version")),
             present ? std::optional(json_fields::text(row, "value"))
                     : std::nullopt});
    });
    return conflict;
}

table_page decode_page(const json::object& response)
{
    table_page page;
    const auto& rows = json_fields::array(response, "rows");
    std::ranges::for_each(rows, [&](const json::value& item) {
        page.rows.push_back(decode_row(json_fields::object(item, "rows")));
    });
    const auto* more = json_fields::find(response, "more");
    if (more == nullptr || !more->is_bool())
    {
        json_fields::fail("more", "true or false");
    }
    page.more = more->get_bool();
    return page;
}

commit_outcome outcome_of(const call_response& response,
                          const std::vector<std::string>& keys)
{
    if (response.status != 200 && response.status != 409)
    {
        return commit_unknown{response_error(service_name, response).message};
    }
    const auto decoded = decode_response<commit_outcome>(
        service_name, response,
        [&](const json::object& body) -> commit_outcome {
            if (response.status == 200)
            {
                return decode_done(body, keys);
            }
            return decode_conflict(body);
        });
    return is_ok(decoded) ? value_of(decoded)
                          : commit_unknown{error_of(decoded).message};
}

result<std::optional<table_row>> row_of(const call_response& response)
{
    if (response.status == 404)
    {
        return std::optional<table_row>();
    }
    if (response.status != 200)
    {
        return response_error(service_name, response);
    }
    return decode_response<std::optional<table_row>>(service_name, response,
                                                     decode_row);
}

// Percent-encodes the value, since Qt leaves a "+" as it is and a server may
// decode it as a space.
void add_item(QUrlQuery& query, const char* name, const std::string& value)
{
    query.addQueryItem(name, QString::fromLatin1(QUrl::toPercentEncoding(
                                 QString::fromStdString(value))));
}

} // namespace

table_client::table_client(std::string address, http_limits limits)
    : address_(std::move(address)), http_(limits), pages_(limits)
{}

std::optional<error> table_client::commit(const table_commit& commit,
                                          commit_callback done)
{
    if (commit.writes.size() > max_writes_per_commit)
    {
        return error{error_code::invalid_input,
                     "table: a commit may contain at most " +
                         std::to_string(max_writes_per_commit) + " writes"};
    }
    std::vector<std::string> keys;
    std::ranges::transform(commit.writes, std::back_inserter(keys),
                           &table_write::key);
    const auto sent =
        http_.post(service_url(address_, "/table/commit"), encode(commit),
                   [keys = std::move(keys),
                    done = std::move(done)](const call_response& response) {
                       done(outcome_of(response, keys));
                   });
    return sent ? std::nullopt : std::optional(too_many_calls(service_name));
}

void table_client::read_row(const std::string& key, const row_callback& done)
{
    auto url = service_url(address_, "/table/row");
    QUrlQuery query;
    add_item(query, "key", key);
    url.setQuery(query);
    const auto sent = http_.get(
        url, [done](const call_response& response) { done(row_of(response)); });
    if (!sent)
    {
        http_.post_action([done] { done(too_many_calls(service_name)); });
    }
}

void table_client::read_rows(const std::string& prefix,
                             const std::string& after, std::size_t limit,
                             const page_callback& done)
{
    auto url = service_url(address_, "/table/rows");
    QUrlQuery query;
    add_item(query, "prefix", prefix);
    add_item(query, "after", after);
    add_item(query, "limit", std::to_string(limit));
    url.setQuery(query);
    const auto sent = pages_.get(url, [done](const call_response& response) {
        done(response.status != 200
                 ? result<table_page>(response_error(service_name, response))
                 : decode_response<table_page>(service_name, response,
                                               decode_page));
    });
    if (!sent)
    {
        pages_.post_action([done] { done(too_many_calls(service_name)); });
    }
}

} // namespace hemlockdeal
