// Parses replies of daemons; used by hemlockdealctl.
#include <algorithm>
#include <array>

#include "operators/json_reader.hpp"
#include "operators/operator_json.hpp"
#include "settings/settings.hpp"

namespace hemlockdeal
{

namespace json = boost::json;

namespace
{

constexpr std::array error_codes = {
    error_code::invalid_input,     error_code::not_found,
    error_code::conflict,          error_code::unavailable,
    error_code::timeout,           error_code::outcome_unknown,
    error_code::permission_denied, error_code::overloaded};

constexpr std::array cancel_outcomes = {
    cancel_outcome::never_ran, cancel_outcome::was_stopped,
    cancel_outcome::unknown_yet, cancel_outcome::already_finished};

constexpr double max_unix_ms = 1e15;

configuration_version read_version(json_reader& reader)
{
    return configuration_version(reader.integer<std::uint64_t>("version"));
}

std::int64_t read_unix_ms(json_reader& reader, std::string_view key)
{
    return static_cast<std::int64_t>(reader.number(key, 0.0, max_unix_ms));
}

std::vector<availability_zone_id> read_zones_out(json_reader& reader)
{
    std::vector<availability_zone_id> zones;
    std::ranges::transform(reader.texts("zones_out"), std::back_inserter(zones),
                           [](std::string& zone) {
                               return availability_zone_id(std::move(zone));
                           });
    return zones;
}

class_status read_class(json_reader reader)
{
    class_status c;
    c.id = class_id(reader.text("id"));
    c.kind = reader.text("kind") == "batch" ? class_kind::batch
                                            : class_kind::latency_critical;
    c.target = reader.milliseconds("target_ms");
    c.percentile = reader.number("percentile", 0.0, 100.0) / 100.0;
    c.measured = reader.optional_milliseconds("measured_ms");
    c.met = reader.boolean("met");
    c.reason = reader.text("reason");
    return c;
}

shard_status read_shard(json_reader reader)
{
    shard_status s;
    s.shard.zone = availability_zone_id(reader.text("zone"));
    s.shard.number = reader.integer<std::uint32_t>("number");
    s.owner = vm_id(reader.text("owner"));
    s.owner_epoch = epoch(reader.integer<std::uint64_t>("epoch"));
    if (auto free = reader.object("free"))
    {
        s.free = free->resource_amounts();
    }
    s.workers = reader.integer<std::uint32_t>("workers");
    s.workers_quarantined =
        reader.integer<std::uint32_t>("workers_quarantined");
    s.tasks_running = reader.integer<std::uint32_t>("tasks_running");
    s.tasks_waiting = reader.integer<std::uint32_t>("tasks_waiting");
    return s;
}

peer_status read_peer(json_reader reader)
{
    peer_status p;
    p.vm = vm_id(reader.text("vm"));
    p.zone = availability_zone_id(reader.text("zone"));
    p.reachable = reader.boolean("reachable");
    p.last_heard = reader.milliseconds("last_heard_ms");
    p.operators = reader.text("operators", "");
    return p;
}

template <typename Function>
auto read_all(const std::vector<json_reader>& readers, Function read)
{
    std::vector<decltype(read(readers.front()))> items;
    std::ranges::transform(readers, std::back_inserter(items), read);
    return items;
}

// Parses the body of a successful reply, by the type of the request.
struct reply_reader
{
    json_reader& reader;

    operator_reply operator()(const job_submission&) const
    {
        return submission_accepted{job_id(reader.text("id"))};
    }

    operator_reply operator()(const job_query&) const
    {
        job_status job;
        job.id = job_id(reader.text("id"));
        if (auto by_state = reader.object("tasks_by_state"))
        {
            for (const auto& member : by_state->members())
            {
                const std::string state(member.key());
                job.tasks_by_state[state] =
                    by_state->integer<std::uint32_t>(state);
            }
        }
        job.waiting_reason = reader.text("waiting_reason");
        job.shards = read_all(reader.objects("shards"), [](json_reader r) {
            return shard_id{availability_zone_id(r.text("zone")),
                            r.integer<std::uint32_t>("number")};
        });
        job.evictions = reader.integer<std::uint32_t>("evictions");
        return job;
    }

    operator_reply operator()(const job_cancellation&) const
    {
        cancellation_recorded recorded;
        recorded.id = job_id(reader.text("id"));
        const std::string text = reader.text("outcome");
        const auto found = std::ranges::find(
            cancel_outcomes, text, [](cancel_outcome o) { return to_text(o); });
        if (found == cancel_outcomes.end())
        {
            reader.add("outcome", "is not known");
            return recorded;
        }
        recorded.outcome = *found;
        return recorded;
    }

    operator_reply operator()(const configuration_change&) const
    {
        return change_accepted{read_version(reader)};
    }

    operator_reply operator()(const configuration_query&) const
    {
        configuration c;
        c.version = read_version(reader);
        c.text = reader.text("text");
        c.zones_out = read_zones_out(reader);
        c.author = reader.text("author");
        c.accepted_at_unix_ms = read_unix_ms(reader, "accepted_at_unix_ms");
        // A newer daemon may accept keys that this program does not know. The
        // text is kept even if it cannot be parsed.
        auto parsed = parse_declaration(c.text, "configuration");
        if (auto* const content = std::get_if<declaration>(&parsed))
        {
            c.content = std::move(*content);
        }
        return c;
    }

    operator_reply operator()(const history_query&) const
    {
        return read_all(reader.objects("versions"), [](json_reader r) {
            history_entry entry;
            entry.version = read_version(r);
            entry.author = r.text("author");
            entry.accepted_at_unix_ms = read_unix_ms(r, "accepted_at_unix_ms");
            entry.zones_out = read_zones_out(r);
            return entry;
        });
    }

    operator_reply operator()(const confirmations_query&) const
    {
        return read_all(reader.objects("daemons"), [](json_reader r) {
            daemon_confirmation c;
            c.vm = vm_id(r.text("vm"));
            c.zone = availability_zone_id(r.text("zone"));
            c.reached = r.text("state") == "confirmed";
            c.version = read_version(r);
            c.age = r.milliseconds("age_ms");
            c.starts_nothing_after_unix_ms =
                read_unix_ms(r, "starts_nothing_after_unix_ms");
            return c;
        });
    }

    operator_reply operator()(const status_query&) const
    {
        daemon_status s;
        s.vm = vm_id(reader.text("vm"));
        s.zone = availability_zone_id(reader.text("zone"));
        s.lease_valid = reader.boolean("lease_valid");
        s.version = read_version(reader);
        s.configuration_age =
            reader.optional_milliseconds("configuration_age_ms");
        s.table_reachable = reader.boolean("table_reachable");
        s.classes = read_all(reader.objects("classes"), read_class);
        s.shards = read_all(reader.objects("shards"), read_shard);
        s.peers = read_all(reader.objects("peers"), read_peer);
        return s;
    }
};

operator_reply_result unreadable_reply(int status, const findings& found)
{
    std::string message = "the response with status " + std::to_string(status) +
                          " cannot be read";
    for (const finding& f : found)
    {
        message += "; " + to_text(f);
    }
    return {error{error_code::outcome_unknown, std::move(message)}, {}};
}

operator_reply_result read_error(int status, json_reader& reader,
                                 findings& found)
{
    const std::string code = reader.text("error");
    error e{error_code::outcome_unknown, reader.text("message")};
    const auto known = std::ranges::find(
        error_codes, code, [](error_code c) { return to_text(c); });
    if (known != error_codes.end())
    {
        e.code = *known;
    }
    else
    {
        reader.add("error", "is not known");
    }
    findings reported = read_all(reader.objects("findings"), [](json_reader r) {
        return finding{{r.text("file"), r.integer<std::uint32_t>("line"),
                        r.integer<std::uint32_t>("column")},
                       r.text("message")};
    });
    if (!found.empty())
    {
        return unreadable_reply(status, found);
    }
    return {std::move(e), std::move(reported)};
}

} // namespace

operator_reply_result read_reply(const operator_request& request, int status,
                                 std::string_view body)
{
    findings found;
    const json::object object = parse_object(body, "response", found);
    if (!found.empty())
    {
        return unreadable_reply(status, found);
    }
    json_reader reader(object, "response", found);
    const bool is_change =
        std::holds_alternative<configuration_change>(request);
    operator_reply_result response;
    if (status == 409 && is_change && object.if_contains("version") != nullptr)
    {
        const auto version = read_version(reader);
        response.reply = change_lost_race{version, reader.text("author")};
    }
    else if (status / 100 == 2)
    {
        response.reply = std::visit(reply_reader{reader}, request);
    }
    else
    {
        return read_error(status, reader, found);
    }
    return found.empty() ? response : unreadable_reply(status, found);
}

} // namespace hemlockdeal
