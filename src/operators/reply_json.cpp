// Serializes replies to operators as HTTP responses with JSON bodies.
#include <algorithm>

#include "observe/utf8.hpp"
#include "operators/json_reader.hpp"
#include "operators/operator_json.hpp"

namespace hemlockdeal
{

namespace json = boost::json;

namespace
{

int status_of(error_code code)
{
    switch (code)
    {
    case error_code::invalid_input:
        return 400;
    case error_code::not_found:
        return 404;
    case error_code::conflict:
        return 409;
    case error_code::unavailable:
        return 503;
    case error_code::timeout:
    case error_code::outcome_unknown:
        return 504;
    case error_code::permission_denied:
        return 403;
    case error_code::overloaded:
        return 429;
    }
    return 500;
}

template <typename Range, typename Function>
json::array to_array(const Range& range, Function convert)
{
    json::array out;
    std::ranges::transform(range, std::back_inserter(out), convert);
    return out;
}

json::array zones_to_json(const std::vector<availability_zone_id>& zones)
{
    return to_array(zones,
                    [](const auto& zone) { return json::value(zone.value()); });
}

json::object to_json(const resources& amounts)
{
    return {{"processors_milli", amounts.processors.value},
            {"memory_mb", amounts.memory.value},
            {"accelerators", amounts.accelerators.value}};
}

json::object error_to_json(const error& e, const findings& found)
{
    return {{"error", to_text(e.code)},
            {"message", valid_utf8(e.message)},
            {"findings", to_array(found, [](const finding& f) -> json::value {
                 return {{"file", valid_utf8(f.place.file)},
                         {"line", f.place.line},
                         {"column", f.place.column},
                         {"message", valid_utf8(f.message)}};
             })}};
}

json::value to_json(const class_status& c)
{
    return {
        {"id", c.id.value()},
        {"kind", c.kind == class_kind::batch ? "batch" : "latency_critical"},
        {"target_ms", to_milliseconds(c.target)},
        {"percentile", c.percentile * 100.0},
        {"measured_ms",
         c.measured ? to_milliseconds(*c.measured) : json::value(nullptr)},
        {"met", c.met},
        {"reason", valid_utf8(c.reason)}};
}

json::value to_json(const shard_status& s)
{
    return {{"zone", s.shard.zone.value()},
            {"number", s.shard.number},
            {"owner", s.owner.value()},
            {"epoch", s.owner_epoch.value()},
            {"free", to_json(s.free)},
            {"workers", s.workers},
            {"workers_quarantined", s.workers_quarantined},
            {"tasks_running", s.tasks_running},
            {"tasks_waiting", s.tasks_waiting}};
}

json::value to_json(const peer_status& p)
{
    return {{"vm", p.vm.value()},
            {"zone", p.zone.value()},
            {"reachable", p.reachable},
            {"last_heard_ms", to_milliseconds(p.last_heard)},
            {"operators", p.operators}};
}

json::value to_json(const history_entry& entry)
{
    return {{"version", entry.version.value()},
            {"author", valid_utf8(entry.author)},
            {"accepted_at_unix_ms", entry.accepted_at_unix_ms},
            {"zones_out", zones_to_json(entry.zones_out)}};
}

json::value to_json(const daemon_confirmation& c)
{
    return {{"vm", c.vm.value()},
            {"zone", c.zone.value()},
            {"state", c.reached ? "confirmed" : "not_reached"},
            {"version", c.version.value()},
            {"age_ms", to_milliseconds(c.age)},
            {"starts_nothing_after_unix_ms", c.starts_nothing_after_unix_ms}};
}

template <typename Range>
json::array all_to_json(const Range& range)
{
    return to_array(range, [](const auto& item) { return to_json(item); });
}

operator_http_reply make_reply(int status, const json::object& body)
{
    return {status, json::serialize(body)};
}

struct reply_writer
{
    operator_http_reply operator()(const error& e) const
    {
        return make_reply(status_of(e.code), error_to_json(e, {}));
    }

    operator_http_reply operator()(const submission_accepted& accepted) const
    {
        return make_reply(202, {{"id", accepted.id.value()}});
    }

    operator_http_reply operator()(const job_status& job) const
    {
        json::object by_state;
        for (const auto& [state, count] : job.tasks_by_state)
        {
            by_state[state] = count;
        }
        const auto shards =
            to_array(job.shards, [](const shard_id& s) -> json::value {
                return {{"zone", s.zone.value()}, {"number", s.number}};
            });
        return make_reply(200,
                          {{"id", job.id.value()},
                           {"tasks_by_state", by_state},
                           {"waiting_reason", valid_utf8(job.waiting_reason)},
                           {"shards", shards},
                           {"evictions", job.evictions}});
    }

    operator_http_reply operator()(const cancellation_recorded& c) const
    {
        return make_reply(
            200, {{"id", c.id.value()}, {"outcome", to_text(c.outcome)}});
    }

    operator_http_reply operator()(const change_accepted& accepted) const
    {
        return make_reply(200, {{"version", accepted.version.value()}});
    }

    operator_http_reply operator()(const change_lost_race& lost) const
    {
        json::object body =
            error_to_json({error_code::conflict,
                           "version " + std::to_string(lost.version.value()) +
                               " of '" + lost.author + "' was accepted first"},
                          {});
        body["version"] = lost.version.value();
        body["author"] = valid_utf8(lost.author);
        return make_reply(409, body);
    }

    operator_http_reply operator()(const configuration& c) const
    {
        return make_reply(200,
                          {{"version", c.version.value()},
                           {"text", valid_utf8(c.text)},
                           {"zones_out", zones_to_json(c.zones_out)},
                           {"author", valid_utf8(c.author)},
                           {"accepted_at_unix_ms", c.accepted_at_unix_ms}});
    }

    operator_http_reply
    operator()(const std::vector<history_entry>& entries) const
    {
        return make_reply(200, {{"versions", all_to_json(entries)}});
    }

    operator_http_reply
    operator()(const std::vector<daemon_confirmation>& daemons) const
    {
        return make_reply(200, {{"daemons", all_to_json(daemons)}});
    }

    operator_http_reply operator()(const daemon_status& s) const
    {
        return make_reply(
            200, {{"vm", s.vm.value()},
                  {"zone", s.zone.value()},
                  {"lease_valid", s.lease_valid},
                  {"version", s.version.value()},
                  {"configuration_age_ms",
                   s.configuration_age ? to_milliseconds(*s.configuration_age)
                                       : json::value(nullptr)},
                  {"table_reachable", s.table_reachable},
                  {"classes", all_to_json(s.classes)},
                  {"shards", all_to_json(s.shards)},
                  {"peers", all_to_json(s.peers)}});
    }
};

} // namespace

std::string_view to_text(error_code code)
{
    switch (code)
    {
    case error_code::invalid_input:
        return "invalid_input";
    case error_code::not_found:
        return "not_found";
    case error_code::conflict:
        return "conflict";
    case error_code::unavailable:
        return "unavailable";
    case error_code::timeout:
        return "timeout";
    case error_code::outcome_unknown:
        return "outcome_unknown";
    case error_code::permission_denied:
        return "permission_denied";
    case error_code::overloaded:
        return "overloaded";
    }
    return "unavailable";
}

std::string_view to_text(cancel_outcome outcome)
{
    switch (outcome)
    {
    case cancel_outcome::never_ran:
        return "never_ran";
    case cancel_outcome::was_stopped:
        return "was_stopped";
    case cancel_outcome::unknown_yet:
        return "unknown_yet";
    case cancel_outcome::already_finished:
        return "already_finished";
    }
    return "unknown_yet";
}

operator_http_reply to_http(const operator_reply& reply)
{
    return std::visit(reply_writer{}, reply);
}

operator_http_reply to_http(const request_refusal& refusal)
{
    return {refusal.status,
            json::serialize(error_to_json(refusal.reason, refusal.found))};
}

} // namespace hemlockdeal
