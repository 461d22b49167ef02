// What the placers of steps and gangs share.
#pragma once

#include "jobs/candidate_workers.hpp"
#include "jobs/place_reservations.hpp"
#include "jobs/quota/quota_gate.hpp"
#include "jobs/task_starter.hpp"
#include "jobs/worker_search.hpp"

namespace hemlockdeal::jobs
{

struct placement_context
{
    const scheduler_state& state;
    const candidate_workers& candidates;
    const place_reservations& reservations;
    worker_search& search;
    task_starter& starter;
    const quota_gate& quota;
};

} // namespace hemlockdeal::jobs
