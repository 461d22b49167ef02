// Times of trials of suspects.
#pragma once

#include <chrono>

#include "core/time.hpp"

namespace hemlockdeal::jobs
{

// A suspect that has waited for this long is tried beside runs that are
// starting up: on a busy fleet no worker may ever be without one.
inline constexpr duration max_wait_for_trial = std::chrono::seconds(1);

// A suspect is tried alone for this long. It stays a suspect until it has
// outlived its earlier crashes, but workers that are kept for trials for much
// longer leave a small fleet without room for the suspects that wait.
inline constexpr duration max_trial_time = std::chrono::seconds(6);

} // namespace hemlockdeal::jobs
