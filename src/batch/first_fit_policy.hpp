// Baseline placement policy: first fit by declared sizes, oldest task first.
// It ignores racks, quotas and usage, and evicts nothing.
#pragma once

#include <string>

#include "batch/placement_policy.hpp"

namespace hemlockdeal
{

class first_fit_policy
{
public:
    placement_output place(const placement_input& input);
    void observe(const policy_observation& observation, time_point now);
    std::string waiting_reason(const job_id& job) const;
    bool is_quarantined(const worker_id& worker) const;
};

static_assert(placement_policy<first_fit_policy>);

} // namespace hemlockdeal
