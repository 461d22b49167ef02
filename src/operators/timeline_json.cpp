// JSON encoding of time line parts.
#include <algorithm>

#include "observe/utf8.hpp"
#include "operators/json_reader.hpp"
#include "operators/operator_json.hpp"

namespace hemlockdeal
{

namespace json = boost::json;

namespace
{

json::value to_json(const timeline_event& e)
{
    return {{"wall_us", e.stamp.wall_us},
            {"logical", e.stamp.logical},
            {"vm", valid_utf8(e.vm)},
            {"thread", valid_utf8(e.thread)},
            {"kind", valid_utf8(e.kind)},
            {"job", valid_utf8(e.job)},
            {"task", e.task},
            {"attempt", e.attempt},
            {"worker", valid_utf8(e.worker)},
            {"request", valid_utf8(e.request)},
            {"shard", valid_utf8(e.shard)},
            {"epoch", e.epoch},
            {"zone", valid_utf8(e.zone)},
            {"duration_us", e.duration_us},
            {"text", valid_utf8(e.text)}};
}

timeline_event read_event(json_reader reader)
{
    timeline_event e;
    e.stamp.wall_us = reader.integer("wall_us");
    e.stamp.logical = reader.integer<std::uint32_t>("logical");
    e.vm = reader.text("vm");
    e.thread = reader.text("thread");
    e.kind = reader.text("kind");
    e.job = reader.text("job");
    e.task = reader.integer("task", -1);
    e.attempt = reader.integer<std::uint64_t>("attempt");
    e.worker = reader.text("worker");
    e.request = reader.text("request");
    e.shard = reader.text("shard");
    e.epoch = reader.integer<std::uint64_t>("epoch");
    e.zone = reader.text("zone");
    e.duration_us = reader.integer("duration_us");
    e.text = reader.text("text");
    return e;
}

} // namespace

std::string to_json_text(const timeline_part& part)
{
    json::array events;
    std::ranges::transform(part.events, std::back_inserter(events), to_json);
    return json::serialize(json::object{{"vm", valid_utf8(part.vm)},
                                        {"overwritten", part.overwritten},
                                        {"events", std::move(events)}});
}

std::variant<timeline_part, findings> read_timeline(std::string_view body)
{
    findings found;
    const json::object object = parse_object(body, "response", found);
    if (!found.empty())
    {
        return found;
    }
    json_reader reader(object, "response", found);
    timeline_part part;
    part.vm = reader.text("vm");
    part.overwritten = reader.integer<std::uint64_t>("overwritten");
    std::ranges::transform(reader.objects("events"),
                           std::back_inserter(part.events), read_event);
    if (!found.empty())
    {
        return found;
    }
    return part;
}

} // namespace hemlockdeal
