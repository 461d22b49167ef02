// Removal of the runs of workers that no longer run them. A run is removed from
// its worker's ledger only when it can no longer be on the worker.
#include "jobs/worker_end_handler.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "jobs/current_run.hpp"
#include "jobs/start_binding.hpp"

namespace hemlockdeal::jobs
{

void worker_end_handler::on_restart(fleet_worker& worker,
                                    const worker_report& report,
                                    time_point sent_at, time_point now)
{
    const worker_id life(worker.entry.id.value() + ':' +
                         std::to_string(worker.entry.incarnation));
    crashes_.on_restart(worker, report, now);
    // A start that was in transit may have reached the new process. It stays
    // in the ledger until a stop and a poll have resolved it.
    std::vector<std::pair<task_key, run_record>> open_starts;
    for (const auto& [key, run] : worker.runs())
    {
        if (!run.confirmed_at || run.ordered_at >= sent_at ||
            report.lists(key, run.run))
        {
            open_starts.emplace_back(key, run);
        }
    }
    std::ranges::for_each(
        open_starts, [&](const auto& entry) { worker.erase_run(entry.first); });
    drop_runs(worker, "worker restarted", now);
    worker.restart(report.incarnation);
    state_.note_restart(worker, now, "report");
    crashes_.on_end(worker, life, now);
    worker.vm_crashed_at = now;
    worker.silent_since.reset();
    // The restarted worker has lost the epoch that it followed: a superseded
    // leader must find out from the store before it starts tasks there.
    worker.is_recorded = false;
    state_.advice.forget_worker(worker.entry.id);
    for (auto& [key, run] : open_starts)
    {
        auto& open = worker.add_run(key, run);
        if (!run.confirmed_at && !run.is_unresolved)
        {
            repeater_.on_unanswered(worker, key, open, now);
        }
        if (report.lists(key, run.run))
        {
            state_.stop_run_with_longer_lease(worker, key, now);
        }
    }
}

void worker_end_handler::withdraw_given_up_starts(fleet_worker& worker,
                                                  time_point now)
{
    for (auto& start : worker.given_up)
    {
        if (!start.stop_ordered_at)
        {
            order_refusal(worker, start, now);
        }
    }
}

void worker_end_handler::repeat_withdrawals(fleet_worker& worker,
                                            time_point now)
{
    std::erase_if(worker.given_up, [&](const given_up_start& start) {
        const bool is_over =
            start.stop_ordered_at &&
            now - start.ordered_at >= state_.options.max_order_delay;
        if (is_over)
        {
            // It may have been executed just before on a silent worker.
            state_.note_withdrawn_start(
                start.account, start.size,
                now + longest_granted_lease(state_.options));
        }
        return is_over;
    });
    if (worker.failed_polls > 0 || worker.has_ended)
    {
        return;
    }
    for (auto& start : worker.given_up)
    {
        if (start.stop_ordered_at &&
            now - *start.stop_ordered_at >= state_.options.stop_retry)
        {
            order_refusal(worker, start, now);
        }
    }
}

void worker_end_handler::order_refusal(const fleet_worker& worker,
                                       given_up_start& start, time_point now)
{
    start.stop_ordered_at = now;
    state_.orders.emplace_back(
        stop_order{worker.entry.id, start.task, start.run});
}

void worker_end_handler::check_lease_expiry(fleet_worker& worker,
                                            time_point now)
{
    repeat_withdrawals(worker, now);
    const bool is_silent =
        worker.failed_polls > 0 || worker.poll_sent_at.has_value();
    if (worker.runs().empty() || !is_silent || !worker.knows_clock() ||
        now <= worker.leases_expire_at(state_.options.clock_error))
    {
        return;
    }
    // The worker may have restarted since it was last seen. Its clock then
    // began anew, and the deadline of a start in transit does not bound it.
    std::vector<std::pair<task_key, run_record>> pending_starts;
    for (const auto& [key, run] : worker.runs())
    {
        if (run.confirmed_at)
        {
            continue;
        }
        if (!worker.unanswered.find(key))
        {
            repeater_.note_unanswered(worker, key, run);
        }
        if (bound_until(state_, worker, key, now))
        {
            pending_starts.emplace_back(key, run);
        }
    }
    std::ranges::for_each(pending_starts, [&](const auto& entry) {
        worker.erase_run(entry.first);
    });
    crashes_.on_requeue(worker, now);
    drop_runs(worker, "leases on the worker expired", now);
    for (const auto& [key, run] : pending_starts)
    {
        worker.add_run(key, run);
    }
}

void worker_end_handler::on_replaced(fleet_worker& worker, fleet_worker& later,
                                     time_point now)
{
    crashes_.on_unnoticed_end(worker, now);
    worker.has_ended = true;
    worker.unanswered.clear();
    state_.log_event("worker has ended",
                     {{"worker", worker.entry.id.value()},
                      {"vm", worker.entry.vm.value()},
                      {"later_worker", later.entry.id.value()}});
    drop_runs(worker, "a later worker runs on its VM", now);
    if (worker.has_been_seen())
    {
        crashes_.on_end(worker, worker.entry.id, now);
    }
    if (!worker.entry.is_leaving)
    {
        later.vm_crashed_at = now;
    }
}

void worker_end_handler::give_up_start(fleet_worker& worker,
                                       const task_key& key,
                                       const run_record& run, time_point now)
{
    const auto* const order = worker.unanswered.find(key);
    if (order == nullptr || bound_until(state_, worker, key, now))
    {
        return;
    }
    state_.may_have_given_up_starts = true;
    worker.given_up.push_back(
        {key,
         run.run,
         order->latest_start - state_.options.max_order_delay,
         {},
         run.account,
         run.size});
}

void worker_end_handler::drop_runs(fleet_worker& worker,
                                   std::string_view reason, time_point now)
{
    while (!worker.runs().empty())
    {
        const auto key = worker.runs().begin()->first;
        const auto run = worker.runs().begin()->second.run;
        const auto checkpoint = worker.runs().begin()->second.checkpoint;
        const bool was_current = is_current_run(state_, worker, key, run);
        state_.note_start_in_doubt(worker, key, worker.runs().begin()->second,
                                   now);
        give_up_start(worker, key, worker.runs().begin()->second, now);
        worker.erase_run(key);
        if (!was_current)
        {
            continue;
        }
        auto* const owner = state_.registry.find(key.job);
        if (owner != nullptr)
        {
            auto& task = owner->task(key);
            if (!checkpoint.empty())
            {
                task.checkpoint = checkpoint;
                state_.registry.mark_changed(key.job);
            }
        }
        state_.requeue(key, reason);
        if (owner != nullptr && worker.silent_since)
        {
            owner->note_lost_run(key, *worker.silent_since);
        }
    }
}

} // namespace hemlockdeal::jobs
