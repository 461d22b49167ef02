// The stored form of a job's progress.
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

json::array to_json(const job_progress::task_place& place)
{
    return {place.occurrence, place.step, place.index};
}

std::optional<job_progress::task_place> to_place(const json::array& in)
{
    if (in.size() < 3)
    {
        return std::nullopt;
    }
    return job_progress::task_place{
        static_cast<std::uint32_t>(integer_of(in[0])),
        static_cast<std::uint32_t>(integer_of(in[1])),
        static_cast<std::uint32_t>(integer_of(in[2]))};
}

bool take_history(const json::array& in, job_progress& progress)
{
    const auto place = to_place(in);
    if (!place || in.size() != 5 || !in[3].is_array() || !in[4].is_string())
    {
        return false;
    }
    auto& history = progress.histories[*place];
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

std::string encode_progress(const job_progress& progress)
{
    json::object out;
    out["s"] = json::string_view(to_text(progress.state).data(),
                                 to_text(progress.state).size());
    // The tasks of a finished job are of no further use.
    if (is_final(progress.state))
    {
        return json::serialize(out);
    }
    if (progress.has_started)
    {
        out["b"] = 1;
    }
    json::array done;
    for (const auto& place : progress.done)
    {
        done.push_back(to_json(place));
    }
    if (!done.empty())
    {
        out["d"] = std::move(done);
    }
    json::array histories;
    for (const auto& [place, history] : progress.histories)
    {
        auto entry = to_json(place);
        entry.push_back(json::value_from(history.failed_runs));
        entry.push_back(json::string(history.checkpoint));
        histories.push_back(std::move(entry));
    }
    if (!histories.empty())
    {
        out["h"] = std::move(histories);
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
    job_progress progress;
    progress.state = *state;
    progress.has_started = integer_in(*in, "b") != 0;
    for (const auto& entry : list_in(*in, "d"))
    {
        const auto place =
            entry.is_array() ? to_place(entry.get_array()) : std::nullopt;
        if (!place)
        {
            return std::nullopt;
        }
        progress.done.push_back(*place);
    }
    for (const auto& entry : list_in(*in, "h"))
    {
        if (!entry.is_array() || !take_history(entry.get_array(), progress))
        {
            return std::nullopt;
        }
    }
    return progress;
}

} // namespace hemlockdeal::jobs
