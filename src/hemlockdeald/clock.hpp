// System clocks. Only the daemon reads them; the cores receive the current time
// as an argument.
#pragma once

#include <cstdint>

#include "core/core.hpp"

namespace hemlockdeal
{

// Monotonic clock that includes time in suspend, so that a lease also expires
// for a holder whose VM was suspended.
time_point lease_clock_now();

std::int64_t unix_ms_now();

} // namespace hemlockdeal
