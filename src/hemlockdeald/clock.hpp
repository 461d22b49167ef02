// The clocks of the daemon. Only the daemon reads them; the cores are given
// the time.
#pragma once

#include <cstdint>

#include "core/core.hpp"

namespace hemlockdeal
{

// Monotonic and counting while the VM is suspended, so that a lease also
// expires for a holder whose VM was paused.
time_point lease_clock_now();

std::int64_t unix_ms_now();

} // namespace hemlockdeal
