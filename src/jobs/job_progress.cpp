// Codec of job progress.
#include "jobs/job_progress.hpp"

#include <algorithm>
#include <array>

#include <boost/json.hpp>

#include "jobs/history_codec.hpp"
#include "jobs/job.hpp"
#include "jobs/json_value.hpp"
#include "jobs/position_codec.hpp"

namespace hemlockdeal::jobs
{

namespace
{

namespace json = boost::json;

constexpr std::array<std::string_view, 5> state_names = {
    "queued", "running", "completed", "failed", "cancelled"};

// Earlier releases reject a row with sets of the other form. They would take
// one without a list for a job of which nothing has been done.
json::value to_json(const task_positions& positions,
                    const std::vector<std::uint32_t>& step_sizes)
{
    if (step_sizes.empty())
    {
        return encode_by_step(positions);
    }
    return json::value_from(encode_as_bits(positions, step_sizes));
}

// False if the member is malformed. A member of another type is not an empty
// set: tasks that are done would run again.
bool read_positions(const json::value& in,
                    const std::vector<std::uint32_t>& step_sizes,
                    task_positions& positions)
{
    if (const auto* const text = in.if_string())
    {
        return !step_sizes.empty() && decode_bits(*text, step_sizes, positions);
    }
    const auto* const list = in.if_array();
    return list != nullptr && decode_by_step(*list, positions);
}

// False if the member is not a list of positive numbers.
bool read_step_sizes(const json::object& in, std::vector<std::uint32_t>& sizes)
{
    const auto* const found = in.if_contains("n");
    if (found == nullptr)
    {
        return true;
    }
    if (!found->is_array() || found->get_array().empty())
    {
        return false;
    }
    for (const auto& entry : found->get_array())
    {
        const auto size = integer_of(entry);
        if (size < 1 || size > std::int64_t{max_tasks_per_job})
        {
            return false;
        }
        sizes.push_back(static_cast<std::uint32_t>(size));
    }
    return true;
}

// Leaves out the runs that do not fit: the cap of the account may then be
// exceeded during a takeover, but the final state of the job is stored.
void add_ending(json::object& out, const job_progress& progress,
                std::size_t max_bytes)
{
    if (progress.ending.empty())
    {
        return;
    }
    if (progress.ended_at)
    {
        out["t"] = progress.ended_at->time_since_epoch().count();
    }
    out["x"] = encode_by_step(progress.ending);
    if (json::serialize(out).size() > max_bytes)
    {
        out.erase("x");
    }
}

std::optional<json::object> parse_row(std::string_view text)
{
    json::error_code error;
    auto parsed = json::parse({text.data(), text.size()}, error);
    if (error || !parsed.is_object())
    {
        return std::nullopt;
    }
    return std::move(parsed.get_object());
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
        add_ending(out, progress, max_bytes);
        return json::serialize(out);
    }
    if (progress.has_started)
    {
        out["b"] = 1;
    }
    if (!progress.step_sizes.empty())
    {
        out["n"] = json::value_from(progress.step_sizes);
    }
    if (!progress.done.empty())
    {
        out["d"] = to_json(progress.done, progress.step_sizes);
    }
    if (progress.ordered)
    {
        out["o"] = to_json(*progress.ordered, progress.step_sizes);
    }
    add_histories(out, progress.histories, max_bytes);
    return json::serialize(out);
}

std::string encode_histories(const job_progress::history_map& histories,
                             std::size_t max_bytes)
{
    json::object out;
    add_histories(out, histories, max_bytes);
    return json::serialize(out);
}

std::optional<job_progress> decode_progress(std::string_view text)
{
    const auto in = parse_row(text);
    const auto state = in ? parse_job_state(text_in(*in, "s")) : std::nullopt;
    if (!state)
    {
        return std::nullopt;
    }
    job_progress progress;
    progress.state = *state;
    progress.has_started = integer_in(*in, "b") != 0;
    if (!read_step_sizes(*in, progress.step_sizes))
    {
        return std::nullopt;
    }
    const auto* const ending = in->if_contains("x");
    if (ending != nullptr && !read_positions(*ending, {}, progress.ending))
    {
        return std::nullopt;
    }
    if (const auto* const at = in->if_contains("t"))
    {
        progress.ended_at = store_time_of(*at);
    }
    const auto* const done = in->if_contains("d");
    if (done != nullptr &&
        !read_positions(*done, progress.step_sizes, progress.done))
    {
        return std::nullopt;
    }
    const auto* const ordered = in->if_contains("o");
    if (ordered != nullptr && !read_positions(*ordered, progress.step_sizes,
                                              progress.ordered.emplace()))
    {
        return std::nullopt;
    }
    return read_histories(*in, progress.histories)
               ? std::optional(std::move(progress))
               : std::nullopt;
}

bool decode_histories(std::string_view text,
                      job_progress::history_map& histories)
{
    const auto in = parse_row(text);
    return in && read_histories(*in, histories);
}

} // namespace hemlockdeal::jobs
