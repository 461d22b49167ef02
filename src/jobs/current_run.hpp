// Whether a run is the one that its task counts on.
#pragma once

#include <cstdint>

#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

// True if the task is placed on the worker as this run. Other
// runs of the task may still be on workers, but are no longer needed.
bool is_current_run(scheduler_state& state, const fleet_worker& worker,
                    const task_key& key, std::uint32_t run);

} // namespace hemlockdeal::jobs
