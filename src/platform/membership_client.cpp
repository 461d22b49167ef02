// Client of the platform's membership list. Only this file depends on its
// protocol.
#include "platform/membership_client.hpp"

#include <exception>
#include <utility>

#include "platform/response.hpp"

namespace hemlockdeal
{

namespace
{

namespace json = boost::json;
const std::string service_name = "membership";
// Ids are keys of the platform's store, which are no longer.
constexpr std::size_t max_id_bytes = 200;

// An entry of another writer may nest deeper than the parser's default of 32.
// The parser and the destructor of its result recurse once a level; at this
// depth they fit into a stack of 512 KB.
constexpr std::size_t max_depth = 1000;

// Options with which one unreadable entry does not hide the others.
json::parse_options lenient_options()
{
    json::parse_options options;
    options.max_depth = max_depth;
    options.allow_invalid_utf8 = true;
    return options;
}

member_kind kind_of(const std::string& text)
{
    if (text == "entry")
    {
        return member_kind::entry_vm;
    }
    if (text == "worker")
    {
        return member_kind::worker;
    }
    if (text != "endpoint")
    {
        json_fields::fail("kind", "entry, worker or endpoint");
    }
    return member_kind::endpoint;
}

member_state state_of(const std::string& text)
{
    if (text != "live" && text != "leaving")
    {
        json_fields::fail("state", "live or leaving");
    }
    return text == "live" ? member_state::live : member_state::leaving;
}

member decode_member(const json::object& vm)
{
    member out;
    out.id = json_fields::text(vm, "id");
    out.kind = kind_of(json_fields::text(vm, "kind"));
    out.state = state_of(json_fields::text(vm, "state"));
    out.zone = availability_zone_id(json_fields::text(vm, "zone"));
    out.region = region_id(json_fields::text(vm, "region"));
    out.rack = rack_id(json_fields::text_or_empty(vm, "rack"));
    out.address = json_fields::text(vm, "address");
    out.service = service_id(json_fields::text_or_empty(vm, "service"));
    out.slots =
        static_cast<std::uint32_t>(json_fields::count_or(vm, "slots", 0));
    out.connections =
        static_cast<std::uint32_t>(json_fields::count_or(vm, "connections", 0));
    out.size = {{json_fields::integer_or(vm, "processors_milli", 0)},
                {json_fields::integer_or(vm, "memory_mb", 0)},
                {json_fields::integer_or(vm, "accelerators", 0)}};
    return out;
}

// Empty when the entry has no id to go by.
std::string readable_id(const json::value& entry)
{
    const auto* object = entry.if_object();
    const auto* id = object == nullptr ? nullptr : object->if_contains("id");
    if (id == nullptr || !id->is_string() ||
        id->get_string().size() > max_id_bytes)
    {
        return {};
    }
    return {id->get_string().data(), id->get_string().size()};
}

void decode_entry(const json::value& entry, std::size_t index,
                  received_membership& list)
{
    const auto id = readable_id(entry);
    try
    {
        const auto& vm = json_fields::object(entry, "vms");
        if (id.empty())
        {
            json_fields::fail("id", "a text of 1 to 200 bytes");
        }
        list.members.push_back({index, decode_member(vm)});
    }
    catch (const std::exception& fault)
    {
        list.malformed.push_back({index, id, fault.what()});
    }
}

received_membership decode_list(const json::object& response)
{
    received_membership list;
    list.version = json_fields::count(response, "version");
    std::size_t index = 0;
    for (const json::value& entry : json_fields::array(response, "vms"))
    {
        decode_entry(entry, index++, list);
    }
    return list;
}

} // namespace

membership_client::membership_client(std::string address, http_limits limits)
    : address_(std::move(address)), http_(limits)
{}

void membership_client::fetch(const membership_callback& done)
{
    const auto sent =
        http_.get(service_url(address_, "/membership"),
                  [done](const call_response& response) {
                      done(response.status != 200
                               ? result<received_membership>(
                                     response_error(service_name, response))
                               : decode_response<received_membership>(
                                     service_name, response, decode_list,
                                     lenient_options()));
                  });
    if (!sent)
    {
        http_.post_action([done] { done(too_many_calls(service_name)); });
    }
}

} // namespace hemlockdeal
