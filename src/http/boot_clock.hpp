// Clock for leases and deadlines that includes the time during which the VM was
// suspended.
#pragma once

#include "core/core.hpp"

namespace hemlockdeal
{

// Reads CLOCK_BOOTTIME. CLOCK_MONOTONIC stops while a VM is suspended, so a
// lease measured with it would be held past its expiry.
time_point boot_now();

} // namespace hemlockdeal
