// Carries the scheduler's orders out and passes the answers back.
#pragma once

#include <algorithm>
#include <utility>

namespace hemlockdeal::node
{

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::carry_out(
    const jobs::start_order& order)
{
    const auto* const worker = entry_of(order.worker);
    if (worker == nullptr)
    {
        return;
    }
    ++counts_.starts;
    workers_.start(*worker, order, epoch_,
                   [this, epoch = epoch_, id = order.worker, key = order.task,
                    run = order.run](jobs::start_answer answer) {
                       if (!is_current(epoch))
                       {
                           return;
                       }
                       counts_.starts_refused +=
                           answer == jobs::start_answer::accepted ? 0 : 1;
                       scheduler_->on_start_answer(id, key, run, answer,
                                                   clock_.now());
                       wake();
                   });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::carry_out(const jobs::stop_order& order)
{
    const auto* const worker = entry_of(order.worker);
    if (worker == nullptr)
    {
        return;
    }
    ++counts_.stops;
    workers_.stop(*worker, order, epoch_,
                  [this, epoch = epoch_, id = order.worker, key = order.task,
                   run = order.run](bool done) {
                      if (is_current(epoch) && done)
                      {
                          scheduler_->on_stop_confirmed(id, key, run,
                                                        clock_.now());
                          wake();
                      }
                  });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::carry_out(const jobs::pace_order& order)
{
    const auto* const worker = entry_of(order.worker);
    if (worker == nullptr)
    {
        return;
    }
    ++counts_.paces;
    // The next report shows whether it had its effect.
    workers_.pace(*worker, order, epoch_, [](bool) {});
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::carry_out(const jobs::poll_order& order)
{
    const auto* const worker = entry_of(order.worker);
    if (worker == nullptr)
    {
        return;
    }
    ++counts_.polls;
    const auto sent_at = clock_.now();
    workers_.poll(*worker, order, epoch_,
                  [this, epoch = epoch_, id = order.worker,
                   sent_at](const poll_answer& answer) {
                      if (!is_current(epoch))
                      {
                          return;
                      }
                      wake();
                      if (answer.is_superseded)
                      {
                          scheduler_->on_superseded();
                          return;
                      }
                      if (!answer.report)
                      {
                          ++counts_.polls_failed;
                          scheduler_->on_poll_failed(id, clock_.now());
                          return;
                      }
                      scheduler_->on_report(id, *answer.report, sent_at,
                                            clock_.now());
                  });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::carry_out(
    const jobs::advice_request& question)
{
    workers_.advise(
        question, [this, epoch = epoch_,
                   question](const std::optional<jobs::advice_answer>& answer) {
            if (!is_current(epoch))
            {
                return;
            }
            wake();
            if (!answer)
            {
                scheduler_->on_advice_failed(question, clock_.now());
                return;
            }
            scheduler_->on_advice(question, *answer, clock_.now());
        });
}

} // namespace hemlockdeal::node
