// Effects of the responses to starts and stops on the worker's ledger.
#include "jobs/order_response_handler.hpp"

#include <algorithm>
#include <string>

#include "jobs/current_run.hpp"

namespace hemlockdeal::jobs
{

namespace
{

constexpr duration no_room_backoff = std::chrono::milliseconds(150);
// Longer than a worker takes to end a run after it has confirmed the stop.
constexpr duration max_stop_time = std::chrono::seconds(2);

} // namespace

void order_response_handler::on_start_answer(
    fleet_worker& worker, const task_key& key, std::uint32_t run,
    const start_response& full_response, time_point now)
{
    auto* const record = worker.find_run(key);
    if (record == nullptr || record->run != run)
    {
        return;
    }
    if (record->confirmed_at)
    {
        if (full_response.answer == start_answer::unknown && record->orders > 1)
        {
            repeater_.note_unanswered(worker, key, *record);
        }
        return;
    }
    const auto response = full_response.answer;
    note_clock(worker, key, full_response, now);
    if (response == start_answer::accepted)
    {
        state_.note_executed_order(worker, record->restarts, now);
        record->confirmed_at = now;
        record->progressed_at = now;
        record->is_unresolved = false;
        worker.responded_at = now;
        avoidance_.on_accepted_start(worker, key.job);
        return;
    }
    state_.log_event("start not accepted",
                     {{"task", to_text(key)},
                      {"run", std::to_string(run)},
                      {"worker", worker.entry.id.value()},
                      {"answer", std::string(to_text(response))}});
    worker.next_poll = std::min(worker.next_poll, now);
    if (response == start_answer::unknown)
    {
        repeater_.on_unanswered(worker, key, *record, now);
        return;
    }
    if (response != start_answer::not_sent)
    {
        worker.responded_at = now;
    }
    const bool was_current = is_current_run(state_, worker, key, run);
    const auto ordered_at = record->ordered_at;
    const auto named_restarts = record->restarts;
    const bool is_in_doubt = worker.unanswered.may_start(key, now);
    if (is_in_doubt)
    {
        keep_in_doubt(worker, *record, response, now);
    }
    else
    {
        worker.erase_run(key);
    }
    if (response == start_answer::no_room)
    {
        worker.full_until = now + no_room_backoff;
    }
    if (response == start_answer::unhealthy)
    {
        avoidance_.on_unhealthy_start(worker, now);
    }
    if (response == start_answer::malformed)
    {
        avoidance_.on_malformed_start(worker, key, now);
    }
    if (response == start_answer::no_ticket)
    {
        state_.advice.forget_worker(worker.entry.id);
    }
    // An order that was sent before a restart was noticed may be refused for
    // its token, too.
    if (response == start_answer::superseded &&
        named_restarts == worker.restarts())
    {
        state_.is_superseded = true;
    }
    // An entry that arrived after the order may show another address, and may
    // not change again.
    if (response == start_answer::other_worker && worker.listed_at < ordered_at)
    {
        worker.is_unlisted = true;
    }
    if (was_current && !is_in_doubt)
    {
        state_.requeue(key, to_text(response));
    }
}

void order_response_handler::keep_in_doubt(fleet_worker& worker,
                                           run_record& run, start_answer answer,
                                           time_point now)
{
    run.is_unresolved = true;
    if (answer == start_answer::run_too_low)
    {
        // The run has ended there. Unless the next report lists the end, the
        // task needs a run with a higher number.
        run.stop_ordered_at = now;
        run.stop_confirmed_at = now;
    }
    worker.next_poll = std::min(worker.next_poll, now);
}

void order_response_handler::note_clock(fleet_worker& worker,
                                        const task_key& key,
                                        const start_response& response,
                                        time_point now)
{
    const auto& run = *worker.find_run(key);
    const bool is_of_later_process =
        response.clock && *response.clock < run.least_clock;
    if (!is_of_later_process || worker.has_restarted ||
        run.restarts != worker.restarts())
    {
        return;
    }
    worker.has_restarted = true;
    worker.next_poll = std::min(worker.next_poll, now);
    state_.note_restart(worker, now, "response to a start");
    if (response.answer == start_answer::accepted)
    {
        state_.stop_run_with_longer_lease(worker, key, now);
    }
}

void order_response_handler::on_stop_confirmed(fleet_worker& worker,
                                               const task_key& key,
                                               std::uint32_t run,
                                               time_point now)
{
    std::erase_if(worker.given_up, [&](const given_up_start& start) {
        const bool is_confirmed =
            start.task == key && start.run == run && start.stop_ordered_at;
        if (is_confirmed)
        {
            // The run may take a while to stop.
            state_.note_withdrawn_start(start.account, start.size,
                                        now + max_stop_time);
        }
        return is_confirmed;
    });
    auto* const record = worker.find_run(key);
    if (record != nullptr && record->run == run && !record->stop_confirmed_at)
    {
        record->stop_confirmed_at = now;
        worker.next_poll = std::min(worker.next_poll, now);
    }
}

} // namespace hemlockdeal::jobs
