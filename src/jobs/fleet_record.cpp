// Codec of the fleet list: a JSON array with, for each worker, the pair of its
// id and its VM, or an object where the runs or the ends of leases are known.
// The VM may be absent.
#include "jobs/fleet_record.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/json.hpp>

#include "jobs/json_value.hpp"

namespace hemlockdeal::jobs
{

namespace
{

namespace json = boost::json;

json::value to_value(const fleet_record& record)
{
    if (record.vm.empty())
    {
        return json::value(record.worker.value());
    }
    return json::array{record.worker.value(), record.vm.value()};
}

json::array to_json(const std::vector<task_key>& tasks)
{
    json::array out;
    std::ranges::transform(
        tasks, std::back_inserter(out),
        [](const task_key& key) { return json::value(to_text(key)); });
    return out;
}

json::array to_json(const std::vector<unanswered_start>& starts)
{
    json::array out;
    std::ranges::transform(
        starts, std::back_inserter(out), [](const unanswered_start& start) {
            json::array out{to_text(start.task),
                            start.until.time_since_epoch().count()};
            if (start.run > 0)
            {
                out.emplace_back(start.run);
            }
            return out;
        });
    return out;
}

json::value to_object(const fleet_record& record)
{
    json::object out{{"w", record.worker.value()}};
    if (record.runs)
    {
        out["r"] = to_json(*record.runs);
    }
    if (!record.suspects.empty())
    {
        out["s"] = to_json(record.suspects);
    }
    if (!record.late_suspects.empty())
    {
        out["l"] = to_json(record.late_suspects);
    }
    if (!record.vm.empty())
    {
        out["v"] = record.vm.value();
    }
    if (record.leases)
    {
        out["t"] =
            json::array{record.leases->epoch,
                        record.leases->ends_at.time_since_epoch().count()};
    }
    if (!record.unanswered_starts.empty())
    {
        out["u"] = to_json(record.unanswered_starts);
    }
    return out;
}

std::string to_string(const json::value& value)
{
    const auto* const text = value.if_string();
    return text == nullptr ? std::string{}
                           : std::string(text->data(), text->size());
}

// False unless the member is absent or lists tasks.
bool read_tasks(const json::object& in, std::string_view member,
                std::vector<task_key>& tasks)
{
    const auto* const found = in.if_contains(member);
    if (found != nullptr && !found->is_array())
    {
        return false;
    }
    for (const auto& name : list_in(in, member))
    {
        auto key = parse_task_key(to_string(name));
        if (!key)
        {
            return false;
        }
        tasks.push_back(std::move(*key));
    }
    return true;
}

std::optional<unanswered_start> to_unanswered_start(const json::value& in)
{
    const auto* const fields = in.if_array();
    if (fields == nullptr || fields->size() < 2 || fields->size() > 3)
    {
        return std::nullopt;
    }
    auto task = parse_task_key(to_string((*fields)[0]));
    const auto until = store_time_of((*fields)[1]);
    json::error_code error;
    const auto run =
        fields->size() > 2 ? (*fields)[2].to_number<std::uint32_t>(error) : 0;
    if (!task || !until || error)
    {
        return std::nullopt;
    }
    return unanswered_start{std::move(*task), *until, run};
}

// False if the starts are malformed.
bool read_unanswered_starts(const json::object& in, fleet_record& record)
{
    const auto* const starts = in.if_contains("u");
    if (starts != nullptr && !starts->is_array())
    {
        return false;
    }
    std::vector<unanswered_start> unanswered;
    for (const auto& value : list_in(in, "u"))
    {
        auto start = to_unanswered_start(value);
        if (!start)
        {
            return false;
        }
        unanswered.push_back(std::move(*start));
    }
    record.unanswered_starts = std::move(unanswered);
    return true;
}

// Leaves the bound out if any part of it is malformed: the longest possible one
// holds then.
void read_leases(const json::object& in, fleet_record& record)
{
    const auto& pair = list_in(in, "t");
    if (pair.size() != 2)
    {
        return;
    }
    json::error_code error;
    const auto epoch = pair[0].to_number<std::uint64_t>(error);
    const auto ends_at = store_time_of(pair[1]);
    if (!error && ends_at)
    {
        record.leases = lease_bound{epoch, *ends_at};
    }
}

std::optional<fleet_record> to_record(const json::value& value)
{
    fleet_record record;
    if (value.is_string())
    {
        record.worker = worker_id(to_string(value));
        return record;
    }
    if (const auto* const pair = value.if_array();
        pair != nullptr && pair->size() == 2)
    {
        record.worker = worker_id(to_string((*pair)[0]));
        record.vm = vm_id(to_string((*pair)[1]));
        return record;
    }
    const auto* const in = value.if_object();
    if (in == nullptr)
    {
        return std::nullopt;
    }
    record.worker = worker_id(text_in(*in, "w"));
    record.vm = vm_id(text_in(*in, "v"));
    if (in->contains("r") && !read_tasks(*in, "r", record.runs.emplace()))
    {
        return std::nullopt;
    }
    if (!read_tasks(*in, "s", record.suspects) ||
        !read_tasks(*in, "l", record.late_suspects))
    {
        return std::nullopt;
    }
    if (read_unanswered_starts(*in, record))
    {
        read_leases(*in, record);
    }
    if (!record.runs && !record.leases && record.unanswered_starts.empty())
    {
        return std::nullopt;
    }
    return record;
}

} // namespace

std::uint32_t fleet_part_of(const worker_id& id)
{
    return static_cast<std::uint32_t>(stable_hash(id.value()) % fleet_parts);
}

std::string encode_fleet(const std::vector<fleet_record>& fleet,
                         std::size_t max_bytes)
{
    json::array out;
    std::ranges::transform(fleet, std::back_inserter(out), to_value);
    auto length = json::serialize(out).size();
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        if (!fleet[i].runs && !fleet[i].leases &&
            fleet[i].unanswered_starts.empty())
        {
            continue;
        }
        auto value = to_object(fleet[i]);
        const auto added = json::serialize(value).size();
        if (length + added <= max_bytes)
        {
            length += added;
            out[i] = std::move(value);
        }
    }
    return json::serialize(out);
}

std::optional<std::vector<fleet_record>> decode_fleet(std::string_view text)
{
    json::error_code error;
    const auto parsed = json::parse({text.data(), text.size()}, error);
    const auto* const list = error ? nullptr : parsed.if_array();
    if (list == nullptr)
    {
        return std::nullopt;
    }
    std::vector<fleet_record> out;
    for (const auto& value : *list)
    {
        auto record = to_record(value);
        if (!record || record->worker.empty())
        {
            // A placeholder for a worker that is not known: any task may be
            // running on it until all leases have expired.
            record = fleet_record{};
            record->worker =
                worker_id("unreadable " + std::to_string(out.size()) + ' ' +
                          std::to_string(stable_hash(text)));
        }
        out.push_back(std::move(*record));
    }
    return out;
}

} // namespace hemlockdeal::jobs
