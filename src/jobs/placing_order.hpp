// Order in which waiting steps get workers when there is more work than room.
#pragma once

#include <chrono>
#include <compare>

#include "jobs/live_job.hpp"
#include "jobs/policy_switches.hpp"

namespace hemlockdeal::jobs
{

enum class priority_group
{
    // Serving tasks that have waited for a while: otherwise short tasks would
    // take all room that becomes free, for as long as they keep coming.
    delayed_long_running,
    // Short tasks with reserved processors: they wait for few resources and
    // release them soon.
    urgent,
    // Serving tasks earn in proportion to the time that they are in service.
    long_running,
    on_time,
    // Can no longer finish within the target.
    late,
    // Can no longer finish within the time in which a late job counts.
    expired
};

// A job that finishes later than this multiple of its target counts as not
// served.
constexpr int expiry_factor = 3;
constexpr int starvation_factor = 10;
constexpr duration max_long_running_wait = std::chrono::seconds(4);

// Position of a waiting step; steps with a lower one are placed first.
struct placing_position
{
    priority_group group = priority_group::on_time;
    // Within a group: the latest start, or for fill tasks the remaining path.
    std::chrono::milliseconds rank{};

    friend auto operator<=>(const placing_position&,
                            const placing_position&) = default;
};

// Orders waiting steps. Fill tasks go by the shortest remaining path, because
// by latest start every job would wait until it is late once the processors
// that fill tasks share are overloaded. No job starves: one that is older than
// `starvation_factor` times its target goes before all other fill tasks.
// `waited` is the time for which tasks of the step have found no room.
placing_position
placing_position_of(const live_job& owner, std::uint32_t occurrence,
                    std::uint32_t step, std::chrono::milliseconds unix_now,
                    duration waited, const policy_switches& policy = {});

} // namespace hemlockdeal::jobs
