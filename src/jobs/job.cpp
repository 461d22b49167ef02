// Text form of task keys, and critical paths of jobs.
#include "jobs/job.hpp"

#include <algorithm>
#include <charconv>

namespace hemlockdeal::jobs
{

namespace
{

// Reads the number before the next dot and removes both from `text`.
bool consume_number(std::string_view& text, std::uint32_t& number)
{
    const auto* const end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, number);
    if (read.ec != std::errc{} || (read.ptr != end && *read.ptr != '.'))
    {
        return false;
    }
    const auto consumed = static_cast<std::size_t>(read.ptr - text.data());
    text.remove_prefix(std::min(consumed + 1, text.size()));
    return true;
}

} // namespace

std::string to_text(const task_key& key)
{
    return key.job.value() + '.' + std::to_string(key.occurrence) + '.' +
           std::to_string(key.step) + '.' + std::to_string(key.index);
}

std::optional<task_key> parse_task_key(std::string_view text)
{
    const auto dot = text.find('.');
    if (dot == 0 || dot == std::string_view::npos)
    {
        return std::nullopt;
    }
    task_key key;
    key.job = job_id(std::string(text.substr(0, dot)));
    text.remove_prefix(dot + 1);
    const bool read = consume_number(text, key.occurrence) &&
                      consume_number(text, key.step) &&
                      consume_number(text, key.index) && text.empty();
    return read ? std::optional(key) : std::nullopt;
}

std::vector<duration> critical_paths_from(const std::vector<step>& steps)
{
    std::vector<duration> critical_paths(steps.size());
    // Steps depend only on steps with lower numbers.
    for (std::size_t i = steps.size(); i-- > 0;)
    {
        critical_paths[i] += steps[i].estimate;
        for (const auto before : steps[i].after)
        {
            critical_paths[before] =
                std::max(critical_paths[before], critical_paths[i]);
        }
    }
    return critical_paths;
}

} // namespace hemlockdeal::jobs
