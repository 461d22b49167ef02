// Log event that sums up the load of the fleet.
#pragma once

#include <cstddef>

#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

decision_event load_summary(const scheduler_state& state,
                            std::size_t tasks_without_room, time_point now);

} // namespace hemlockdeal::jobs
