// Asks the advice service on which workers the tasks of a step may start.
#pragma once

#include "jobs/candidate_workers.hpp"
#include "jobs/worker_eligibility.hpp"

namespace hemlockdeal::jobs
{

class advice_requester
{
public:
    advice_requester(scheduler_state& state,
                     const candidate_workers& candidates)
        : state_(state), eligibility_(state), candidates_(candidates)
    {}

    // Orders a request if the step needs advice, some tasks lack a ticket and a
    // request is due.
    void request(const waiting_step& step, time_point now);

private:
    scheduler_state& state_;
    worker_eligibility eligibility_;
    const candidate_workers& candidates_;
};

} // namespace hemlockdeal::jobs
