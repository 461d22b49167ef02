// Rule on trials of suspects that the search for workers and the diagnosis of
// waits share.
#pragma once

#include <chrono>

#include "core/time.hpp"

namespace hemlockdeal::jobs
{

// A suspect that has waited for this long is tried beside runs that are
// starting up: on a busy fleet no worker may ever be without one.
inline constexpr duration max_wait_for_trial = std::chrono::seconds(1);

} // namespace hemlockdeal::jobs
