// Decides whether the cap of an account lets further tasks start.
#pragma once

#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

class quota_gate
{
public:
    explicit quota_gate(const scheduler_state& state) : state_(state) {}

    // True if `count` tasks of the step may start together. Jobs without an
    // account have no cap.
    bool admits(const live_job& owner, const step& s, std::uint32_t count,
                time_point now) const;

    // The same for one task that is in the ledger of its worker already.
    bool admits_counted(const live_job& owner, const step& s,
                        time_point now) const;

    // True if the job has no account, or if its account uses less than half of
    // its cap in each resource.
    bool uses_under_half(const live_job& owner, time_point now) const;

private:
    const scheduler_state& state_;
};

} // namespace hemlockdeal::jobs
