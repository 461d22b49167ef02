// Codec of the fleet list: a JSON array of worker ids, with objects in place
// of the ids where the runs are known.
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

json::value to_value(const fleet_record& record, bool with_runs)
{
    if (!record.runs || !with_runs)
    {
        return json::value(record.worker.value());
    }
    json::array runs;
    std::ranges::transform(
        *record.runs, std::back_inserter(runs),
        [](const task_key& key) { return json::value(to_text(key)); });
    return json::object{{"w", record.worker.value()}, {"r", std::move(runs)}};
}

std::string to_string(const json::value& value)
{
    const auto* const text = value.if_string();
    return text == nullptr ? std::string{}
                           : std::string(text->data(), text->size());
}

std::optional<fleet_record> to_record(const json::value& value)
{
    fleet_record record;
    if (value.is_string())
    {
        record.worker = worker_id(to_string(value));
        return record;
    }
    const auto* const in = value.if_object();
    if (in == nullptr)
    {
        return std::nullopt;
    }
    record.worker = worker_id(text_in(*in, "w"));
    record.runs.emplace();
    for (const auto& run : list_in(*in, "r"))
    {
        auto key = parse_task_key(to_string(run));
        if (!key)
        {
            return std::nullopt;
        }
        record.runs->push_back(std::move(*key));
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
    // Two quotes and a comma per worker, and the brackets.
    constexpr std::size_t overhead_per_worker = 3;
    std::size_t length = 2;
    for (const auto& record : fleet)
    {
        length += record.worker.value().size() + overhead_per_worker;
    }
    json::array out;
    for (const auto& record : fleet)
    {
        auto value = to_value(record, true);
        if (!value.is_string())
        {
            const auto value_length = json::serialize(value).size();
            const bool fits = length + value_length <= max_bytes;
            length += fits ? value_length : 0;
            value = to_value(record, fits);
        }
        out.push_back(std::move(value));
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
        if (!record)
        {
            return std::nullopt;
        }
        out.push_back(std::move(*record));
    }
    return out;
}

} // namespace hemlockdeal::jobs
