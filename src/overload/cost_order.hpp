// Cost to callers of delaying waiting work.
#pragma once

#include "core/core.hpp"

namespace hemlockdeal::overload
{

struct waiting_work
{
    // Duration within which the job should be done.
    duration objective{};
    // Until the work must start so that its job is done within the objective;
    // negative if it is too late for that.
    duration slack{};
    // The same for the time in which a late job still counts.
    duration slack_when_late{};
    // What the job still needs.
    double core_seconds = 0.0;
};

// Core-seconds that are spent for each unit of value that a delay would lose;
// work with a lower figure goes first. It is the inverse of the apparent
// tardiness cost: value over remaining work, which falls the more time is left.
// Work that can no longer count costs most.
double work_per_loss(const waiting_work& work);

} // namespace hemlockdeal::overload
