// Filtering and merging of the time lines of several daemons.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/timeline_event.hpp"

namespace hemlockdeal
{

// An empty field matches every event.
struct timeline_filter
{
    std::string job;
    std::string request;
    std::string vm; // daemon or worker of the event
    std::string zone;
};

bool matches(const timeline_filter& filter, const timeline_event& event);

// Events recorded by one daemon; `overwritten` counts those that its rings no
// longer hold.
struct timeline_part
{
    std::string vm;
    std::uint64_t overwritten = 0;
    std::vector<timeline_event> events;
};

// Merges the parts into one list ordered by timestamp.
std::vector<timeline_event>
merge_timelines(const std::vector<timeline_part>& parts);

// Formats an event as one line of text.
std::string to_text(const timeline_event& event);

} // namespace hemlockdeal
