// The input of a placement policy together with what it points to.
#pragma once

#include <vector>

#include "batch/placement_policy.hpp"

namespace hemlockdeal
{

// Not copyable, because the input refers to the members.
struct placement_view
{
    placement_view() = default;
    placement_view(placement_view&&) = default;
    placement_view& operator=(placement_view&&) = default;
    placement_view(const placement_view&) = delete;
    placement_view& operator=(const placement_view&) = delete;
    ~placement_view() = default;

    std::vector<waiting_task> waiting;
    std::vector<worker_view> workers;
    std::vector<team_quota> quotas;
    placement_input input;
};

} // namespace hemlockdeal
