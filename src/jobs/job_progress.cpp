// Codec of job progress.
#include "jobs/job_progress.hpp"

#include <algorithm>
#include <array>

#include <boost/json.hpp>

#include "jobs/json_value.hpp"

namespace hemlockdeal::jobs
{

namespace
{

namespace json = boost::json;

constexpr std::array<std::string_view, 5> state_names = {
    "queued", "running", "completed", "failed", "cancelled"};

json::array to_json(const job_progress::task_position& position)
{
    return {position.occurrence, position.step, position.index};
}

std::optional<std::uint32_t> index_of(const json::value& value)
{
    json::error_code error;
    const auto index = value.to_number<std::uint32_t>(error);
    return error ? std::nullopt : std::optional(index);
}

std::optional<job_progress::task_position> to_position(const json::array& in)
{
    if (in.size() < 3)
    {
        return std::nullopt;
    }
    const auto occurrence = index_of(in[0]);
    const auto step = index_of(in[1]);
    const auto index = index_of(in[2]);
    if (!occurrence || !step || !index)
    {
        return std::nullopt;
    }
    return job_progress::task_position{*occurrence, *step, *index};
}

// Task indices of one step and occurrence as a bit set in hexadecimal digits:
// the first digit holds the first four tasks, with the lowest index in its
// lowest bit.
constexpr std::uint32_t tasks_per_digit = 4;
constexpr std::string_view digits = "0123456789abcdef";

std::string to_digits(const std::vector<std::uint32_t>& indices)
{
    std::string out(std::ranges::max(indices) / tasks_per_digit + 1, '0');
    for (const auto index : indices)
    {
        auto& digit = out[index / tasks_per_digit];
        const auto value = digits.find(digit) | 1U << index % tasks_per_digit;
        digit = digits[value];
    }
    return out;
}

json::array to_json(const std::vector<job_progress::task_position>& positions)
{
    std::map<std::pair<std::uint32_t, std::uint32_t>,
             std::vector<std::uint32_t>>
        steps;
    for (const auto& position : positions)
    {
        steps[{position.occurrence, position.step}].push_back(position.index);
    }
    json::array out;
    for (const auto& [step, indices] : steps)
    {
        out.push_back(json::array{step.first, step.second, to_digits(indices)});
    }
    return out;
}

bool read_positions(const json::array& in,
                    std::vector<job_progress::task_position>& positions)
{
    for (const auto& entry : in)
    {
        const auto* const row = entry.if_array();
        const auto* const text = row != nullptr && row->size() == 3
                                     ? (*row)[2].if_string()
                                     : nullptr;
        if (text == nullptr)
        {
            return false;
        }
        const auto occurrence = index_of((*row)[0]);
        const auto step = index_of((*row)[1]);
        if (!occurrence || !step)
        {
            return false;
        }
        for (std::uint32_t i = 0; i < text->size(); ++i)
        {
            const auto value = digits.find((*text)[i]);
            if (value == std::string_view::npos)
            {
                return false;
            }
            for (std::uint32_t bit = 0; bit < tasks_per_digit; ++bit)
            {
                if ((value & 1U << bit) != 0)
                {
                    positions.push_back(
                        {*occurrence, *step, i * tasks_per_digit + bit});
                }
            }
        }
    }
    return true;
}

json::array to_json(const job_progress::task_position& position,
                    const job_progress::task_history& history,
                    bool with_checkpoint)
{
    auto entry = to_json(position);
    entry.push_back(json::value_from(history.failed_runs));
    entry.push_back(
        json::string(with_checkpoint ? history.checkpoint : std::string()));
    return entry;
}

// Omits checkpoints first: they only save work, while the failures bound the
// number of attempts.
json::array histories_within(const job_progress& progress,
                             std::size_t max_bytes)
{
    json::array out;
    std::size_t length = 0;
    const auto add = [&](json::array entry) {
        const auto entry_bytes = json::serialize(entry).size() + 1;
        if (length + entry_bytes <= max_bytes)
        {
            length += entry_bytes;
            out.push_back(std::move(entry));
        }
    };
    std::size_t total_bytes = 0;
    for (const auto& [position, history] : progress.histories)
    {
        total_bytes +=
            json::serialize(to_json(position, history, true)).size() + 1;
    }
    const bool with_checkpoints = total_bytes <= max_bytes;
    for (const auto& [position, history] : progress.histories)
    {
        const bool has_checkpoint =
            with_checkpoints && !history.checkpoint.empty();
        if (has_checkpoint || !history.failed_runs.empty())
        {
            add(to_json(position, history, with_checkpoints));
        }
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

json::array crashes_within(const job_progress& progress, std::size_t max_bytes)
{
    json::array out;
    std::size_t length = 0;
    for (const auto& [position, history] : progress.histories)
    {
        if (history.crashes.empty())
        {
            continue;
        }
        auto entry = to_json(position, history.crashes);
        length += json::serialize(entry).size() + 1;
        if (length > max_bytes)
        {
            break;
        }
        out.push_back(std::move(entry));
    }
    return out;
}

// A member of its own, so that earlier releases can read the crashes.
json::array possible_start_up_crashes(const json::array& stored_crashes,
                                      const job_progress& progress)
{
    json::array out;
    for (const auto& entry : stored_crashes)
    {
        const auto position = to_position(entry.get_array()).value();
        const auto& crashes = progress.histories.at(position).crashes;
        if (crashes.possibly_in_start_up != crashes.in_start_up)
        {
            auto count = to_json(position);
            count.emplace_back(crashes.possibly_in_start_up);
            out.push_back(std::move(count));
        }
    }
    return out;
}

bool read_possible_start_up_crashes(const json::array& in,
                                    job_progress& progress)
{
    const auto position = to_position(in);
    if (!position || in.size() != 4)
    {
        return false;
    }
    const auto history = progress.histories.find(*position);
    if (history == progress.histories.end())
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

bool read_crashes(const json::array& in, job_progress& progress)
{
    const auto position = to_position(in);
    if (!position || in.size() != 7 || !in[3].is_array() || !in[6].is_string())
    {
        return false;
    }
    auto& crashes = progress.histories[*position].crashes;
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

bool read_history(const json::array& in, job_progress& progress)
{
    const auto position = to_position(in);
    if (!position || in.size() != 5 || !in[3].is_array() || !in[4].is_string())
    {
        return false;
    }
    auto& history = progress.histories[*position];
    for (const auto& run : in[3].get_array())
    {
        history.failed_runs.push_back(
            static_cast<std::uint32_t>(integer_of(run)));
    }
    history.checkpoint = std::string(in[4].get_string());
    return true;
}

} // namespace

bool is_final(job_state state)
{
    return state == job_state::completed || state == job_state::failed ||
           state == job_state::cancelled;
}

std::string_view to_text(job_state state)
{
    return state_names.at(static_cast<std::size_t>(state));
}

std::optional<job_state> parse_job_state(std::string_view text)
{
    const auto found = std::ranges::find(state_names, text);
    if (found == state_names.end())
    {
        return std::nullopt;
    }
    return static_cast<job_state>(found - state_names.begin());
}

std::string encode_progress(const job_progress& progress, std::size_t max_bytes)
{
    json::object out;
    out["s"] = json::string_view(to_text(progress.state).data(),
                                 to_text(progress.state).size());
    // The task states of a finished job are no longer needed.
    if (is_final(progress.state))
    {
        return json::serialize(out);
    }
    if (progress.has_started)
    {
        out["b"] = 1;
    }
    if (!progress.done.empty())
    {
        out["d"] = to_json(progress.done);
    }
    if (progress.ordered)
    {
        out["o"] = to_json(*progress.ordered);
    }
    if (!progress.histories.empty())
    {
        constexpr std::size_t max_crashes_share = 4;
        auto crashes = crashes_within(progress, max_bytes / max_crashes_share);
        auto counts = possible_start_up_crashes(crashes, progress);
        if (!crashes.empty())
        {
            out["c"] = std::move(crashes);
        }
        if (!counts.empty())
        {
            out["e"] = std::move(counts);
        }
        // Member name, brackets and closing brace.
        constexpr std::size_t member_overhead = 16;
        const auto used = json::serialize(out).size() + member_overhead;
        out["h"] =
            histories_within(progress, max_bytes > used ? max_bytes - used : 0);
    }
    return json::serialize(out);
}

std::optional<job_progress> decode_progress(std::string_view text)
{
    json::error_code error;
    const auto parsed = json::parse({text.data(), text.size()}, error);
    const auto* const in = error ? nullptr : parsed.if_object();
    if (in == nullptr)
    {
        return std::nullopt;
    }
    const auto state = parse_job_state(text_in(*in, "s"));
    if (!state)
    {
        return std::nullopt;
    }
    // A list of another type is not an empty list: tasks that are done would
    // run again.
    for (const std::string_view member : {"d", "o", "c", "e", "h"})
    {
        const auto* const found = in->if_contains(member);
        if (found != nullptr && !found->is_array())
        {
            return std::nullopt;
        }
    }
    job_progress progress;
    progress.state = *state;
    progress.has_started = integer_in(*in, "b") != 0;
    if (!read_positions(list_in(*in, "d"), progress.done))
    {
        return std::nullopt;
    }
    if (in->if_contains("o") != nullptr &&
        !read_positions(list_in(*in, "o"), progress.ordered.emplace()))
    {
        return std::nullopt;
    }
    for (const auto& entry : list_in(*in, "c"))
    {
        if (!entry.is_array() || !read_crashes(entry.get_array(), progress))
        {
            return std::nullopt;
        }
    }
    for (const auto& entry : list_in(*in, "e"))
    {
        if (!entry.is_array() ||
            !read_possible_start_up_crashes(entry.get_array(), progress))
        {
            return std::nullopt;
        }
    }
    for (const auto& entry : list_in(*in, "h"))
    {
        if (!entry.is_array() || !read_history(entry.get_array(), progress))
        {
            return std::nullopt;
        }
    }
    return progress;
}

} // namespace hemlockdeal::jobs
