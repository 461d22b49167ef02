// Public header of the observe library: hybrid clock, time line, metrics and
// logging. Only logging performs I/O.
#pragma once

#include "observe/chrome_trace.hpp"
#include "observe/hybrid_clock.hpp"
#include "observe/logging.hpp"
#include "observe/metrics.hpp"
#include "observe/timeline.hpp"
#include "observe/timeline_ring.hpp"
#include "observe/utf8.hpp"
