// Executes the scheduler's orders and passes the responses back to it.
#pragma once

#include <algorithm>
#include <utility>

namespace hemlockdeal::node
{

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::execute(const jobs::start_order& order)
{
    const auto* const worker = entry_of(order.worker);
    if (worker == nullptr)
    {
        return;
    }
    if (!lead_.is_valid(clock_.now()))
    {
        // The process may have been suspended since the decision.
        scheduler_->on_start_answer(order.worker, order.task, order.run,
                                    jobs::start_answer::not_sent, clock_.now());
        return;
    }
    ++stats_.starts;
    stats_.starts_repeated += order.is_repeated ? 1 : 0;
    workers_.start(
        *worker, order, epoch_,
        [this, epoch = epoch_, id = order.worker, key = order.task,
         run = order.run](const jobs::start_response& response) {
            if (!is_current(epoch))
            {
                return;
            }
            stats_.starts_refused +=
                response.answer == jobs::start_answer::accepted ? 0 : 1;
            stats_.starts_unanswered +=
                response.answer == jobs::start_answer::unknown ? 1 : 0;
            scheduler_->on_start_answer(id, key, run, response, clock_.now());
            request_decision();
        });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::execute(const jobs::stop_order& order)
{
    const auto* const worker = entry_of(order.worker);
    if (worker == nullptr)
    {
        return;
    }
    ++stats_.stops;
    workers_.stop(*worker, order, epoch_,
                  [this, epoch = epoch_, id = order.worker, key = order.task,
                   run = order.run](bool done) {
                      if (is_current(epoch) && done)
                      {
                          scheduler_->on_stop_confirmed(id, key, run,
                                                        clock_.now());
                          request_decision();
                      }
                  });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::execute(const jobs::pace_order& order)
{
    const auto* const worker = entry_of(order.worker);
    if (worker == nullptr)
    {
        return;
    }
    ++stats_.paces;
    // An order without an answer is not repeated.
    workers_.pace(*worker, order, epoch_, [](bool) {});
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::execute(const jobs::poll_order& order)
{
    const auto* const worker = entry_of(order.worker);
    if (worker == nullptr)
    {
        return;
    }
    ++stats_.polls;
    const auto sent_at = clock_.now();
    workers_.poll(*worker, order, epoch_,
                  [this, epoch = epoch_, id = order.worker,
                   sent_at](const poll_response& response) {
                      if (!is_current(epoch))
                      {
                          return;
                      }
                      request_decision();
                      if (response.is_superseded)
                      {
                          scheduler_->on_poll_refused(id, clock_.now());
                          return;
                      }
                      if (!response.report)
                      {
                          ++stats_.polls_failed;
                          scheduler_->on_poll_failed(id, clock_.now());
                          return;
                      }
                      scheduler_->on_report(id, *response.report, sent_at,
                                            clock_.now());
                  });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::execute(
    const jobs::advice_request& request)
{
    workers_.advise(request,
                    [this, epoch = epoch_, request](
                        const std::optional<jobs::advice_answer>& response) {
                        if (!is_current(epoch))
                        {
                            return;
                        }
                        request_decision();
                        if (!response)
                        {
                            scheduler_->on_advice_failed(request, clock_.now());
                            return;
                        }
                        scheduler_->on_advice(request, *response, clock_.now());
                    });
}

} // namespace hemlockdeal::node
