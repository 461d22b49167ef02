// Codec of the histories of tasks.
#include "jobs/history_codec.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>

#include "jobs/json_value.hpp"
#include "jobs/position_codec.hpp"

namespace hemlockdeal::jobs
{

namespace
{

namespace json = boost::json;

json::array failures_to_json(const job_progress::history_map& histories,
                             bool with_checkpoints)
{
    json::array out;
    for (const auto& [position, history] : histories)
    {
        const bool has_checkpoint =
            with_checkpoints && !history.checkpoint.empty();
        if (history.failed_runs.empty() && !has_checkpoint)
        {
            continue;
        }
        auto entry = to_json(position);
        entry.push_back(json::value_from(history.failed_runs));
        entry.push_back(
            json::string(has_checkpoint ? history.checkpoint : std::string()));
        out.push_back(std::move(entry));
    }
    return out;
}

json::array to_json(const job_progress::task_position& position,
                    const crash_history& crashes)
{
    auto entry = to_json(position);
    json::array workers;
    for (const auto& worker : crashes.workers)
    {
        workers.emplace_back(worker.value());
    }
    entry.emplace_back(std::move(workers));
    entry.emplace_back(crashes.in_start_up);
    entry.emplace_back(std::chrono::duration_cast<std::chrono::milliseconds>(
                           crashes.longest_run)
                           .count());
    entry.emplace_back(crashes.tried_on.value());
    return entry;
}

json::array crashes_to_json(const job_progress::history_map& histories)
{
    json::array out;
    for (const auto& [position, history] : histories)
    {
        if (!history.crashes.empty())
        {
            out.push_back(to_json(position, history.crashes));
        }
    }
    return out;
}

// A member of its own, so that earlier releases can read the crashes.
json::array
possible_start_up_crashes(const job_progress::history_map& histories)
{
    json::array out;
    for (const auto& [position, history] : histories)
    {
        const auto& crashes = history.crashes;
        if (!crashes.empty() &&
            crashes.possibly_in_start_up != crashes.in_start_up)
        {
            auto count = to_json(position);
            count.emplace_back(crashes.possibly_in_start_up);
            out.push_back(std::move(count));
        }
    }
    return out;
}

bool read_possible_start_up_crashes(const json::array& in,
                                    job_progress::history_map& histories)
{
    const auto position = to_position(in);
    if (!position || in.size() != 4)
    {
        return false;
    }
    const auto history = histories.find(*position);
    if (history == histories.end())
    {
        return false;
    }
    auto& crashes = history->second.crashes;
    crashes.possibly_in_start_up =
        static_cast<std::uint32_t>(std::clamp<std::int64_t>(
            integer_of(in[3]), crashes.in_start_up,
            static_cast<std::int64_t>(crashes.workers.size())));
    return true;
}

bool read_crashes(const json::array& in, job_progress::history_map& histories)
{
    const auto position = to_position(in);
    if (!position || in.size() != 7 || !in[3].is_array() || !in[6].is_string())
    {
        return false;
    }
    auto& crashes = histories[*position].crashes;
    for (const auto& worker : in[3].get_array())
    {
        const auto* const name = worker.if_string();
        if (name == nullptr)
        {
            return false;
        }
        crashes.workers.emplace_back(std::string(*name));
    }
    crashes.in_start_up = static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        integer_of(in[4]), 0,
        static_cast<std::int64_t>(crashes.workers.size())));
    crashes.possibly_in_start_up = crashes.in_start_up;
    crashes.longest_run =
        std::clamp<duration>(std::chrono::milliseconds(integer_of(in[5])),
                             duration{}, crash_history::max_run);
    crashes.tried_on = worker_id(std::string(in[6].get_string()));
    return true;
}

bool read_failures(const json::array& in, job_progress::history_map& histories)
{
    const auto position = to_position(in);
    if (!position || in.size() != 5 || !in[3].is_array() || !in[4].is_string())
    {
        return false;
    }
    auto& history = histories[*position];
    for (const auto& run : in[3].get_array())
    {
        history.failed_runs.push_back(
            static_cast<std::uint32_t>(integer_of(run)));
    }
    history.checkpoint = std::string(in[4].get_string());
    return true;
}

// Reads each entry of a list; false if one is malformed.
bool read_entries(const json::object& in, std::string_view member,
                  bool (*read)(const json::array&, job_progress::history_map&),
                  job_progress::history_map& histories)
{
    return std::ranges::all_of(
        list_in(in, member), [&](const json::value& entry) {
            return entry.is_array() && read(entry.get_array(), histories);
        });
}

void add_list(json::object& out, std::string_view name, json::array list)
{
    if (!list.empty())
    {
        out[name] = std::move(list);
    }
}

} // namespace

void add_histories(json::object& out,
                   const job_progress::history_map& histories,
                   std::size_t max_bytes)
{
    add_list(out, "c", crashes_to_json(histories));
    add_list(out, "e", possible_start_up_crashes(histories));
    add_list(out, "h", failures_to_json(histories, true));
    if (json::serialize(out).size() > max_bytes)
    {
        out.erase("h");
        add_list(out, "h", failures_to_json(histories, false));
    }
}

bool read_histories(const json::object& in,
                    job_progress::history_map& histories)
{
    for (const std::string_view member : {"c", "e", "h"})
    {
        const auto* const found = in.if_contains(member);
        if (found != nullptr && !found->is_array())
        {
            return false;
        }
    }
    return read_entries(in, "c", read_crashes, histories) &&
           read_entries(in, "e", read_possible_start_up_crashes, histories) &&
           read_entries(in, "h", read_failures, histories);
}

} // namespace hemlockdeal::jobs
