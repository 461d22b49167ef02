// Time lines of several daemons: filter and merge.
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
    std::string vm; // the daemon or the worker of the event
    std::string zone;
};

bool matches(const timeline_filter& filter, const timeline_event& event);

// What one daemon knows; `overwritten` events are no longer in its rings.
struct timeline_part
{
    std::string vm;
    std::uint64_t overwritten = 0;
    std::vector<timeline_event> events;
};

// Joins parts into one list in the order of the stamps.
std::vector<timeline_event>
merge_timelines(const std::vector<timeline_part>& parts);

// One line of text for an event.
std::string to_text(const timeline_event& event);

} // namespace hemlockdeal
