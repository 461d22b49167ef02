// Serializes and parses requests of operators as HTTP with JSON bodies.
#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

#include "observe/utf8.hpp"
#include "operators/json_reader.hpp"
#include "operators/operator_json.hpp"
#include "settings/settings.hpp"

namespace hemlockdeal
{

namespace json = boost::json;

namespace
{

constexpr std::int64_t max_tasks = 1'000'000;
constexpr double max_run_time_s = 90.0 * 86400.0;
constexpr std::uint32_t max_history = 1000;

const std::string body_name = "request";
const std::string jobs_prefix = "/v1/jobs/";
const std::string cancel_suffix = "/cancel";

struct request_writer
{
    operator_http_request operator()(const job_submission& job) const
    {
        const json::object body{
            {"id", job.id.value()},
            {"team", job.team.value()},
            {"class", job.work_class.value()},
            {"tasks", job.tasks},
            {"processors_milli", job.task_size.processors.value},
            {"memory_mb", job.task_size.memory.value},
            {"accelerators", job.task_size.accelerators.value},
            {"declared_run_time_s",
             static_cast<double>(job.declared_run_time.count()) / 1e6},
            {"payload", valid_utf8(job.payload)}};
        return {"POST", "/v1/jobs", json::serialize(body)};
    }

    operator_http_request operator()(const job_query& query) const
    {
        return {"GET", jobs_prefix + query.id.value(), ""};
    }

    operator_http_request operator()(const job_cancellation& cancel) const
    {
        return {"POST", jobs_prefix + cancel.id.value() + cancel_suffix, ""};
    }

    operator_http_request operator()(const configuration_change& change) const
    {
        json::array zones;
        std::ranges::transform(
            change.zones_out, std::back_inserter(zones),
            [](const auto& zone) { return json::value(zone.value()); });
        const json::object body{{"based_on", change.based_on.value()},
                                {"author", valid_utf8(change.author)},
                                {"text", valid_utf8(change.text)},
                                {"zones_out", zones},
                                {"id", change.id}};
        return {"POST", "/v1/config", json::serialize(body)};
    }

    operator_http_request operator()(const configuration_query&) const
    {
        return {"GET", "/v1/config", ""};
    }

    operator_http_request operator()(const history_query& query) const
    {
        return {"GET",
                "/v1/config/history?limit=" + std::to_string(query.limit), ""};
    }

    operator_http_request operator()(const confirmations_query&) const
    {
        return {"GET", "/v1/config/confirmations", ""};
    }

    operator_http_request operator()(const status_query&) const
    {
        return {"GET", "/v1/status", ""};
    }
};

using read_result = std::variant<operator_request, request_refusal>;

request_refusal refusal(int status, error_code code, std::string message,
                        findings found = {})
{
    return {status, {code, std::move(message)}, std::move(found)};
}

read_result to_result(operator_request request, findings found)
{
    if (found.empty())
    {
        return request;
    }
    return refusal(400, error_code::invalid_input,
                   "the request has " + std::to_string(found.size()) +
                       (found.size() == 1 ? " mistake" : " mistakes"),
                   std::move(found));
}

read_result read_submission(std::string_view body)
{
    findings found;
    const json::object object = parse_object(body, body_name, found);
    if (!found.empty())
    {
        return to_result(job_submission{}, std::move(found));
    }
    json_reader reader(object, body_name, found);
    job_submission job;
    job.id = job_id(reader.id("id"));
    job.team = team_id(reader.id("team"));
    job.work_class = class_id(reader.id("class"));
    job.tasks = reader.integer<std::uint32_t>("tasks", 1, 1, max_tasks);
    job.task_size = reader.resource_amounts();
    job.declared_run_time = duration(std::llround(
        reader.number("declared_run_time_s", 0.0, max_run_time_s, 0.0) * 1e6));
    job.payload = reader.text("payload", "");
    reader.reject_unknown_members();
    return to_result(std::move(job), std::move(found));
}

void check_zones(const configuration_change& change, json_reader& reader)
{
    for (const availability_zone_id& zone : change.zones_out)
    {
        if (!region_of(change.content, zone))
        {
            reader.add("zones_out", "names the zone '" + zone.value() +
                                        "', which is not declared");
        }
    }
}

read_result read_change(std::string_view body)
{
    findings found;
    const json::object object = parse_object(body, body_name, found);
    if (!found.empty())
    {
        return to_result(configuration_change{}, std::move(found));
    }
    json_reader reader(object, body_name, found);
    configuration_change change;
    change.id = reader.id("id");
    change.based_on =
        configuration_version(reader.integer<std::uint64_t>("based_on"));
    change.author = reader.text("author");
    change.text = reader.text("text");
    std::ranges::transform(reader.texts("zones_out"),
                           std::back_inserter(change.zones_out),
                           [](std::string& zone) {
                               return availability_zone_id(std::move(zone));
                           });
    reader.reject_unknown_members();
    if (change.author.empty() || change.author.size() > 200)
    {
        reader.add("author", "has between 1 and 200 bytes");
    }
    auto parsed = parse_declaration(change.text, "declaration");
    if (auto* const content = std::get_if<declaration>(&parsed))
    {
        change.content = std::move(*content);
        check_zones(change, reader);
    }
    else
    {
        const auto& declaration_findings = std::get<findings>(parsed);
        found.insert(found.end(), declaration_findings.begin(),
                     declaration_findings.end());
    }
    return to_result(std::move(change), std::move(found));
}

read_result read_history(std::string_view limit)
{
    history_query query;
    if (limit.empty())
    {
        return query;
    }
    const char* const end = limit.data() + limit.size();
    const auto [rest, failure] =
        std::from_chars(limit.data(), end, query.limit);
    if (failure != std::errc{} || rest != end || query.limit == 0 ||
        query.limit > max_history)
    {
        return refusal(400, error_code::invalid_input,
                       "'limit' is no integer between 1 and " +
                           std::to_string(max_history));
    }
    return query;
}

// Extracts the id from "/v1/jobs/<id>" or "/v1/jobs/<id>/cancel".
std::optional<job_id> job_id_from_path(std::string_view path,
                                       std::string_view suffix)
{
    if (!path.starts_with(jobs_prefix) || !path.ends_with(suffix))
    {
        return std::nullopt;
    }
    path.remove_prefix(jobs_prefix.size());
    path.remove_suffix(std::min(path.size(), suffix.size()));
    return is_valid_id(path) ? std::optional(job_id(std::string(path)))
                             : std::nullopt;
}

std::optional<read_result> read_get(std::string_view path,
                                    std::string_view limit)
{
    if (path == "/v1/status")
    {
        return status_query{};
    }
    if (path == "/v1/config")
    {
        return configuration_query{};
    }
    if (path == "/v1/config/history")
    {
        return read_history(limit);
    }
    if (path == "/v1/config/confirmations")
    {
        return confirmations_query{};
    }
    if (const auto id = job_id_from_path(path, ""))
    {
        return job_query{*id};
    }
    return std::nullopt;
}

bool is_post_path(std::string_view path)
{
    return path == "/v1/config" || path == "/v1/jobs" ||
           job_id_from_path(path, cancel_suffix).has_value();
}

read_result read_post(std::string_view path, std::string_view body)
{
    if (path == "/v1/config")
    {
        return read_change(body);
    }
    if (path == "/v1/jobs")
    {
        return read_submission(body);
    }
    return job_cancellation{*job_id_from_path(path, cancel_suffix)};
}

} // namespace

operator_http_request to_http(const operator_request& request)
{
    return std::visit(request_writer{}, request);
}

std::variant<operator_request, request_refusal>
read_request(std::string_view method, std::string_view path,
             std::string_view limit, std::string_view body)
{
    const auto get = read_get(path, limit);
    if (!get && !is_post_path(path))
    {
        return refusal(404, error_code::not_found, "there is no such path");
    }
    if (method == "GET" && get)
    {
        return *get;
    }
    if (method == "POST" && is_post_path(path))
    {
        return read_post(path, body);
    }
    return refusal(405, error_code::invalid_input,
                   "the path does not allow this method");
}

} // namespace hemlockdeal
