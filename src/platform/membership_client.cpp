// Client of the platform's membership list. Only this file depends on its
// protocol.
#include "platform/membership_client.hpp"

#include <charconv>
#include <cstdint>
#include <exception>
#include <string_view>
#include <utility>

#include <arpa/inet.h>

#include <QUtf8StringView>

#include "core/ids.hpp"
#include "platform/response.hpp"

namespace hemlockdeal
{

namespace
{

namespace json = boost::json;
const std::string service_name = "membership";
// Ids and names are texts of the platform's store, which are no longer.
constexpr std::size_t max_text_bytes = 200;
// Beyond what a VM has, and low enough that the sums over the largest list that
// is accepted (32 MB, fewer than 400,000 entries) do not overflow: 32 bits for
// slots, 64 bits for the others.
constexpr std::int64_t most_slots = 10'000;
constexpr std::int64_t most_connections = 10'000;
constexpr std::int64_t most_processors_milli = 1'000'000'000;
constexpr std::int64_t most_memory_mb = 1'000'000'000;
constexpr std::int64_t most_accelerators = 1'000'000;

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

bool is_utf8(const std::string& text)
{
    return QUtf8StringView(text.data(), static_cast<qsizetype>(text.size()))
        .isValidUtf8();
}

bool is_port(std::string_view text)
{
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, port);
    return read.ec == std::errc() && read.ptr == end && port != 0;
}

// Addresses are IP numbers, so that nothing is looked up. The address of a
// worker may end with a path.
bool is_reachable_address(std::string_view address, member_kind kind)
{
    if (kind == member_kind::worker)
    {
        address = address.substr(0, address.find('/'));
    }
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos || !is_port(address.substr(colon + 1)))
    {
        return false;
    }
    const std::string host(address.substr(0, colon));
    in_addr parsed{};
    return inet_pton(AF_INET, host.c_str(), &parsed) == 1 &&
           parsed.s_addr != INADDR_ANY;
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

std::string required_text(const json::object& vm, std::string_view name)
{
    auto text = json_fields::text(vm, name);
    if (text.empty() || text.size() > max_text_bytes || !is_utf8(text))
    {
        json_fields::fail(name, "a text of 1 to 200 bytes");
    }
    return text;
}

std::string optional_text(const json::object& vm, std::string_view name)
{
    const auto text = json_fields::text_or_empty(vm, name);
    return text.empty() ? text : required_text(vm, name);
}

std::int64_t amount(const json::object& vm, std::string_view name,
                    std::int64_t most)
{
    const auto number = json_fields::integer_or(vm, name, 0);
    if (number < 0 || number > most)
    {
        json_fields::fail(name, "between 0 and " + std::to_string(most));
    }
    return number;
}

// What a VM of the kind cannot be used without.
void require_positive(const json::object& vm, std::string_view name)
{
    if (json_fields::integer(vm, name) <= 0)
    {
        json_fields::fail(name, "a positive number");
    }
}

member decode_member(const json::object& vm)
{
    member out;
    out.id = required_text(vm, "id");
    out.kind = kind_of(json_fields::text(vm, "kind"));
    out.state = state_of(json_fields::text(vm, "state"));
    out.zone = availability_zone_id(required_text(vm, "zone"));
    out.region = region_id(required_text(vm, "region"));
    out.rack = rack_id(optional_text(vm, "rack"));
    out.address = required_text(vm, "address");
    if (!is_reachable_address(out.address, out.kind))
    {
        json_fields::fail("address", "an IP address and a port");
    }
    out.service = service_id(optional_text(vm, "service"));
    out.slots = static_cast<std::uint32_t>(amount(vm, "slots", most_slots));
    out.connections =
        static_cast<std::uint32_t>(amount(vm, "connections", most_connections));
    out.size = {{amount(vm, "processors_milli", most_processors_milli)},
                {amount(vm, "memory_mb", most_memory_mb)},
                {amount(vm, "accelerators", most_accelerators)}};
    if (out.kind == member_kind::worker)
    {
        require_positive(vm, "processors_milli");
        require_positive(vm, "memory_mb");
    }
    if (out.kind == member_kind::endpoint)
    {
        required_text(vm, "service");
        require_positive(vm, "slots");
    }
    return out;
}

// Empty when the entry has no id to go by.
std::string readable_id(const json::value& entry)
{
    const auto* object = entry.if_object();
    const auto* id = object == nullptr ? nullptr : object->if_contains("id");
    if (id == nullptr || !id->is_string() ||
        id->get_string().size() > max_text_bytes)
    {
        return {};
    }
    std::string text(id->get_string().data(), id->get_string().size());
    return is_utf8(text) ? text : std::string();
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
        const auto content =
            id.empty() ? stable_hash(json::serialize(entry)) : 0;
        list.malformed.push_back({index, id, fault.what(), content});
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
