// Export of time lines to the Chrome trace viewer and Perfetto.
#pragma once

#include <string>
#include <vector>

#include "core/timeline_event.hpp"

namespace hemlockdeal
{

// Returns Chrome trace event JSON with one process per VM and its threads. The
// timestamp of an event with a duration is the end of the event.
std::string chrome_trace(const std::vector<timeline_event>& events);

} // namespace hemlockdeal
