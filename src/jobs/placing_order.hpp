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

// Which steps go first under overload, whatever their priority.
enum class overload_class
{
    first,
    useful,
    // Can no longer finish within the time in which a late job counts.
    useless
};

// Position of a waiting step; steps with a lower one are placed first. The
// members that only overload control sets are equal for all steps without it.
struct placing_position
{
    overload_class load_class = overload_class::first;
    // Of the queue, with overload control.
    int priority = 0;
    priority_group group = priority_group::on_time;
    // With overload control, what the job still needs in relation to the value
    // that a delay would lose.
    double cost = 0.0;
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

// The same with overload control: among the work that still counts, queues of a
// lower number of priority go first, and then work for which a delay costs
// callers most per core-second.
placing_position
overload_position_of(const live_job& owner, std::uint32_t occurrence,
                     std::uint32_t step, std::chrono::milliseconds unix_now,
                     duration waited, const policy_switches& policy = {});

} // namespace hemlockdeal::jobs
