// Filtering, merging and formatting of time lines.
#include "observe/timeline.hpp"

#include <algorithm>
#include <array>
#include <ctime>
#include <iomanip>
#include <sstream>
#include <tuple>

namespace hemlockdeal
{

namespace
{

bool matches_field(const std::string& expected, const std::string& value)
{
    return expected.empty() || expected == value;
}

void append_time(std::ostream& out, const hybrid_timestamp& stamp)
{
    const std::time_t seconds = stamp.wall_us / 1'000'000;
    std::tm broken_down{};
    gmtime_r(&seconds, &broken_down);
    out << std::put_time(&broken_down, "%FT%T") << '.' << std::setfill('0')
        << std::setw(6) << stamp.wall_us % 1'000'000 << "Z+" << stamp.logical;
}

void append(std::ostream& out, const char* key, const std::string& value)
{
    if (!value.empty())
    {
        out << ' ' << key << '=' << value;
    }
}

} // namespace

bool matches(const timeline_filter& filter, const timeline_event& event)
{
    return matches_field(filter.job, event.job) &&
           matches_field(filter.request, event.request) &&
           (matches_field(filter.vm, event.vm) || filter.vm == event.worker) &&
           matches_field(filter.zone, event.zone);
}

std::vector<timeline_event>
merge_timelines(const std::vector<timeline_part>& parts)
{
    std::vector<timeline_event> merged;
    for (const timeline_part& part : parts)
    {
        merged.insert(merged.end(), part.events.begin(), part.events.end());
    }
    // Equal timestamps of different VMs are concurrent events; ordering them by
    // VM makes the result deterministic.
    std::ranges::stable_sort(merged, {}, [](const timeline_event& event) {
        return std::tuple(event.stamp, std::string_view(event.vm));
    });
    return merged;
}

std::string to_text(const timeline_event& event)
{
    std::ostringstream out;
    append_time(out, event.stamp);
    out << ' ' << event.vm << '/' << event.thread << ' ' << event.kind;
    append(out, "job", event.job);
    if (event.task >= 0)
    {
        out << " task=" << event.task << " attempt=" << event.attempt;
    }
    append(out, "worker", event.worker);
    append(out, "request", event.request);
    append(out, "shard", event.shard);
    if (event.epoch != 0)
    {
        out << " epoch=" << event.epoch;
    }
    append(out, "zone", event.zone);
    if (event.duration_us != 0)
    {
        out << " duration_us=" << event.duration_us;
    }
    if (!event.text.empty())
    {
        out << ": " << event.text;
    }
    return std::move(out).str();
}

} // namespace hemlockdeal
