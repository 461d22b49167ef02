// Requests to the advice service.
#include "jobs/advice_requester.hpp"

#include <utility>

namespace hemlockdeal::jobs
{

void advice_requester::request(const waiting_step& step, time_point now)
{
    const auto& definition = step.owner->definition();
    if (!definition.policy.needs_advice)
    {
        return;
    }
    const step_key asked{definition.id, step.occurrence, step.step};
    const auto first = step.task(0);
    std::size_t workers_with_ticket = 0;
    std::vector<worker_id> workers;
    for (const auto* const worker : candidates_.all_for(step, now))
    {
        if (!eligibility_.has_room(*worker, step.definition()) ||
            !eligibility_.satisfies_constraints(*worker, *step.owner, first))
        {
            continue;
        }
        const auto& id = worker->entry.id;
        workers_with_ticket += state_.advice.ticket(asked, id, now) ? 1 : 0;
        workers.push_back(id);
    }
    // The advice service needs time for each worker in a request, so
    // none is sent once as many workers have a ticket as there are tasks.
    if (workers_with_ticket >= step.definition().task_count)
    {
        return;
    }
    if (auto order = state_.advice.next_request(asked, workers, now))
    {
        state_.orders.emplace_back(std::move(*order));
    }
}

} // namespace hemlockdeal::jobs
