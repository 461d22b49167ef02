// The clock for leases and deadlines: it also counts the time during which
// the VM was suspended.
#pragma once

#include "core/core.hpp"

namespace hemlockdeal
{

// Reads CLOCK_BOOTTIME. The monotonic clock stands still while a VM is
// suspended, so that a lease measured with it would be held for too long.
time_point boot_now();

} // namespace hemlockdeal
