// Export of time lines for Chrome's trace viewer and Perfetto.
#pragma once

#include <string>
#include <vector>

#include "core/timeline_event.hpp"

namespace hemlockdeal
{

// Chrome trace event JSON: a process per VM and a thread per thread. The
// stamp of an event with a duration marks its end.
std::string chrome_trace(const std::vector<timeline_event>& events);

} // namespace hemlockdeal
