// Processing of worker responses. A run is removed from its worker's ledger
// only when it can no longer be on the worker.
#include "jobs/report_intake.hpp"

#include <algorithm>
#include <utility>

namespace hemlockdeal::jobs
{

namespace
{

constexpr duration no_room_backoff = std::chrono::milliseconds(150);
// Longer than the interval between two reports of a worker with serving and
// fill tasks.
constexpr duration min_time_below_target = std::chrono::milliseconds(700);
// A single report can predate the run even if it was requested later.
constexpr unsigned missing_report_threshold = 2;
// Longer than a worker takes to end a run after it has confirmed the stop.
constexpr duration max_stop_time = std::chrono::seconds(2);

} // namespace

void report_intake::on_report(fleet_worker& worker, const worker_report& report,
                              time_point sent_at, time_point now)
{
    if (report.incarnation != worker.entry.incarnation)
    {
        handle_restart(worker, report.incarnation, sent_at, now);
    }
    else
    {
        crashes_.on_response(worker);
        worker.acknowledged_ends =
            std::max(worker.acknowledged_ends, worker.acknowledging);
    }
    worker.note_clock(report.clock, now);
    worker.contact_at = sent_at;
    worker.responded_at = now;
    worker.failed_polls = 0;
    worker.has_restarted = false;
    worker.has_ended = false;
    for (const auto& [key, run] : std::exchange(worker.given_up, {}))
    {
        state_.orders.emplace_back(stop_order{worker.entry.id, key, run});
    }
    note_unreadable_rows(worker, report);
    handle_ends(worker, report, now);
    for (const auto& reported : report.running)
    {
        handle_running(worker, reported, now);
    }
    if (!taken_over_tasks_.empty())
    {
        // A single log event, because a new leader finds thousands of runs at
        // once.
        state_.log_event("adopted runs of an earlier leader",
                         {{"worker", worker.entry.id.value()},
                          {"tasks", std::exchange(taken_over_tasks_, {})}});
    }
    check_missing_runs(worker, report, sent_at, now);
}

void report_intake::on_late_report(fleet_worker& worker,
                                   const worker_report& report, time_point now)
{
    if (report.incarnation == worker.entry.incarnation)
    {
        handle_ends(worker, report, now);
    }
}

void report_intake::handle_ends(fleet_worker& worker,
                                const worker_report& report, time_point now)
{
    for (const auto& end : report.ended)
    {
        if (is_new_end(worker, end))
        {
            worker.taken_ends = std::max(worker.taken_ends, end.number);
            handle_end(worker, end, now);
        }
    }
}

bool report_intake::is_new_end(fleet_worker& worker, const ended_run& end)
{
    if (end.number > 0)
    {
        return end.number > worker.taken_ends;
    }
    const auto* const run = worker.find_run(end.task);
    if (run != nullptr && run->run == end.run)
    {
        return true;
    }
    // The ledger of a new leader holds no run that ended before.
    auto* const owner = state_.registry.find(end.task.job);
    if (owner == nullptr || !owner->has(end.task))
    {
        return false;
    }
    if (end.how == run_end::failed)
    {
        const auto& counted = owner->task(end.task).failed_runs;
        return std::ranges::find(counted, end.run) == counted.end();
    }
    return end.how == run_end::done &&
           !owner->step_of(end.task).is_long_running &&
           owner->task(end.task).phase != task_phase::done;
}

void report_intake::note_unreadable_rows(fleet_worker& worker,
                                         const worker_report& report)
{
    // An end without a number may never be acknowledged either.
    const auto unreadable_ends =
        report.unreadable_ended + static_cast<std::size_t>(std::ranges::count(
                                      report.ended, 0U, &ended_run::number));
    const bool is_changed =
        worker.unreadable_runs != report.unreadable_running ||
        worker.unreadable_ends != unreadable_ends;
    if (!is_changed)
    {
        return;
    }
    if (report.unreadable_running < worker.unreadable_runs)
    {
        worker.note_gained_room();
    }
    worker.unreadable_runs = report.unreadable_running;
    worker.unreadable_ends = unreadable_ends;
    state_.log_event("rows of a worker report cannot be decoded",
                     {{"worker", worker.entry.id.value()},
                      {"running", std::to_string(report.unreadable_running)},
                      {"ended", std::to_string(unreadable_ends)},
                      {"first", report.first_unreadable}});
}

void report_intake::handle_restart(fleet_worker& worker,
                                   worker_incarnation incarnation,
                                   time_point sent_at, time_point now)
{
    const worker_id life(worker.entry.id.value() + ':' +
                         std::to_string(worker.entry.incarnation));
    crashes_.on_unnoticed_restart(worker, now);
    // A start that was in transit may have reached the new process. It stays
    // in the ledger until a stop and a poll have resolved it.
    std::vector<std::pair<task_key, run_record>> open_starts;
    for (const auto& [key, run] : worker.runs())
    {
        if (!run.confirmed_at || run.ordered_at >= sent_at)
        {
            open_starts.emplace_back(key, run);
        }
    }
    std::ranges::for_each(
        open_starts, [&](const auto& entry) { worker.erase_run(entry.first); });
    drop_runs(worker, "worker restarted");
    worker.restart(incarnation);
    crashes_.on_end(worker, life, now);
    worker.vm_crashed_at = now;
    worker.silent_since.reset();
    // The restarted worker has lost the epoch that it followed: a superseded
    // leader must find out from the store before it starts tasks there.
    worker.is_recorded = false;
    state_.advice.forget_worker(worker.entry.id);
    for (auto& [key, run] : open_starts)
    {
        run.is_unresolved = !run.confirmed_at;
        worker.add_run(key, run);
    }
}

void report_intake::handle_end(fleet_worker& worker, const ended_run& end,
                               time_point now)
{
    const auto* const run = worker.find_run(end.task);
    if (run != nullptr && run->run == end.run)
    {
        worker.erase_run(end.task);
    }
    auto* const owner = state_.registry.find(end.task.job);
    if (owner == nullptr || !owner->has(end.task))
    {
        return;
    }
    auto& task = owner->task(end.task);
    const bool is_current = task.phase == task_phase::placed &&
                            task.worker == worker.entry.id &&
                            task.last_run == end.run;
    task.last_run = std::max(task.last_run, end.run);
    state_.log_event("run ended", {{"task", to_text(end.task)},
                                   {"run", std::to_string(end.run)},
                                   {"worker", worker.entry.id.value()},
                                   {"how", std::string(to_text(end.how))}});
    const bool is_long_running = owner->step_of(end.task).is_long_running;
    if (end.how == run_end::done && !is_long_running)
    {
        handle_done(worker, *owner, end.task, now);
        return;
    }
    if (end.how == run_end::failed)
    {
        handle_failure(worker, *owner, end, is_current, now);
        return;
    }
    if (!end.checkpoint.empty() &&
        (is_current || task.phase == task_phase::waiting))
    {
        task.checkpoint = end.checkpoint;
        state_.registry.mark_changed(end.task.job);
    }
    if (end.how == run_end::unrecognized)
    {
        avoidance_.on_failure(worker, end.task.job, now);
        task.failed_on.add(worker.entry.id);
    }
    if (is_current)
    {
        owner->set_waiting(end.task);
    }
}

void report_intake::handle_done(fleet_worker& worker, live_job& owner,
                                const task_key& key, time_point now)
{
    worker.health.failures = 0;
    worker.health.avoidance = {};
    // Another copy of the task is no longer needed.
    auto* const other = state_.find_worker(owner.task(key).worker);
    if (other != nullptr && other != &worker)
    {
        state_.order_stop(*other, key, now, "task already done");
    }
    if (!owner.set_done(key))
    {
        return;
    }
    if (owner.step_of(key).is_gang)
    {
        complete_gang(owner, key);
    }
    state_.registry.mark_changed(key.job);
    if (owner.is_complete())
    {
        state_.log_event("job completed", {{"job", key.job.value()}});
        state_.registry.finish(key.job, job_state::completed);
    }
}

void report_intake::complete_gang(live_job& owner, const task_key& key)
{
    for (std::uint32_t i = 0; i < owner.step_of(key).task_count; ++i)
    {
        owner.set_done({key.job, key.occurrence, key.step, i});
    }
}

void report_intake::handle_failure(fleet_worker& worker, live_job& owner,
                                   const ended_run& end, bool is_current,
                                   time_point now)
{
    if (!owner.add_failure(end.task, end.run))
    {
        return;
    }
    avoidance_.on_failure(worker, end.task.job, now);
    state_.registry.mark_changed(end.task.job);
    auto& task = owner.task(end.task);
    task.failed_on.add(worker.entry.id);
    if (!end.checkpoint.empty())
    {
        task.checkpoint = end.checkpoint;
    }
    if (is_current)
    {
        owner.set_waiting(end.task);
    }
    if (owner.has_failed(end.task) && task.phase != task_phase::done)
    {
        state_.fail_job(owner, end.task, now);
    }
}

bool report_intake::is_current_run(const fleet_worker& worker,
                                   const task_key& key, std::uint32_t run)
{
    auto* const owner = state_.registry.find(key.job);
    if (owner == nullptr || !owner->has(key))
    {
        return false;
    }
    const auto& task = owner->task(key);
    return task.phase == task_phase::placed && task.worker == worker.entry.id &&
           task.last_run == run;
}

void report_intake::handle_running(fleet_worker& worker,
                                   const running_task& reported, time_point now)
{
    auto* run = worker.find_run(reported.task);
    if (run == nullptr || run->run != reported.run)
    {
        adopt_run(worker, reported, now);
        run = worker.find_run(reported.task);
    }
    run->missing = 0;
    run->last_reported_at = now;
    run->is_unresolved = false;
    if (!run->confirmed_at)
    {
        run->confirmed_at = now;
        run->progressed_at = now;
    }
    if (!is_current_run(worker, reported.task, reported.run))
    {
        state_.order_stop(worker, reported.task, now, "run no longer needed");
        return;
    }
    update_progress(worker, reported.task, *run, reported, now);
    crashes_.on_run_reported(worker, reported.task, *run, now);
}

void report_intake::adopt_run(fleet_worker& worker,
                              const running_task& reported, time_point now)
{
    auto* const owner = state_.registry.find(reported.task.job);
    const bool is_known = owner != nullptr && owner->has(reported.task);
    const step unknown_step;
    const auto& step = is_known ? owner->step_of(reported.task) : unknown_step;
    // The run is past its start-up as far as is known.
    auto adopted = make_run(step, reported.run, now - start_up_time);
    adopted.is_adopted = true;
    // The job is over, so nothing is started beside the run until it has ended.
    adopted.has_unknown_size = !is_known;
    if (is_known)
    {
        set_evidence(adopted, owner->task(reported.task));
    }
    worker.add_run(reported.task, adopted);
    if (!is_known || owner->task(reported.task).phase != task_phase::waiting)
    {
        return;
    }
    owner->set_placed(reported.task, worker.entry.id, reported.run);
    owner->task(reported.task).last_run = reported.run;
    taken_over_tasks_ +=
        (taken_over_tasks_.empty() ? "" : ",") + to_text(reported.task);
}

void report_intake::note_tail(fleet_worker& worker, run_record& run,
                              time_point now) const
{
    if (is_over_target(run))
    {
        run.over_at = now;
        run.over_since =
            run.over_since.value_or(earliest_time_over_target(run, now));
        worker.over_target_at = now;
        return;
    }
    run.below_at = now;
    if (now - run.over_at >= min_time_below_target)
    {
        run.over_since.reset();
    }
}

time_point report_intake::earliest_time_over_target(const run_record& run,
                                                    time_point now) const
{
    // The earlier leader may have waited for part of the limit already.
    return run.is_adopted
               ? now - state_.options.harm_limit / 4
               : std::max(run.below_at, run.confirmed_at.value_or(now));
}

void report_intake::update_progress(fleet_worker& worker, const task_key& key,
                                    run_record& run,
                                    const running_task& reported,
                                    time_point now)
{
    run.measurement = reported.measurement;
    note_tail(worker, run, now);
    run.is_adopted = run.is_adopted && run.fills;
    if (reported.percent != run.percent ||
        reported.checkpoint != run.checkpoint)
    {
        run.percent = reported.percent;
        run.checkpoint = reported.checkpoint;
        run.progressed_at = now;
        return;
    }
    constexpr int full_progress = 100;
    const bool may_stall = run.pace == 0 || reported.percent >= full_progress;
    if (!may_stall && now - run.progressed_at > state_.options.stall_limit &&
        !run.stop_ordered_at)
    {
        if (!worker.is_overcommitted(state_.options.serving_use))
        {
            state_.registry.find(key.job)->task(key).failed_on.add(
                worker.entry.id);
            avoidance_.on_failure(worker, key.job, now);
        }
        state_.order_stop(worker, key, now,
                          "run made no progress within the stall limit");
    }
}

bool report_intake::is_run_over(const run_record& run,
                                const worker_report& report,
                                time_point sent_at) const
{
    if (report.unreadable_running > 0)
    {
        // Any row that cannot be decoded may be this run, unless the run has
        // been stopped.
        return run.stop_confirmed_at &&
               *run.stop_confirmed_at + max_stop_time < sent_at;
    }
    if (run.confirmed_at)
    {
        return run.missing >= missing_report_threshold;
    }
    // A late start is refused after its deadline or after its stop.
    const bool is_past_deadline = report.clock > run.start_deadline;
    const bool is_withdrawn =
        run.stop_confirmed_at && *run.stop_confirmed_at < sent_at;
    return run.is_unresolved && (is_past_deadline || is_withdrawn);
}

void report_intake::check_missing_runs(fleet_worker& worker,
                                       const worker_report& report,
                                       time_point sent_at, time_point now)
{
    std::vector<task_key> absent;
    for (const auto& [key, run] : worker.runs())
    {
        if (run.last_reported_at != now)
        {
            absent.push_back(key);
        }
    }
    for (const auto& key : absent)
    {
        auto& run = *worker.find_run(key);
        if (run.confirmed_at && *run.confirmed_at < sent_at)
        {
            ++run.missing;
        }
        if (is_run_over(run, report, sent_at))
        {
            const bool was_current = is_current_run(worker, key, run.run);
            worker.erase_run(key);
            if (was_current)
            {
                state_.requeue(key, "run missing from the worker's reports");
            }
            continue;
        }
        if (run.is_unresolved)
        {
            state_.order_stop(worker, key, now,
                              "no response to the start order");
            continue;
        }
        if (report.unreadable_running > 0 &&
            run.missing >= missing_report_threshold)
        {
            state_.order_stop(worker, key, now,
                              "run missing beside rows that cannot be decoded");
        }
    }
}

void report_intake::on_start_answer(fleet_worker& worker, const task_key& key,
                                    std::uint32_t run, start_answer response,
                                    time_point now)
{
    auto* const record = worker.find_run(key);
    if (record == nullptr || record->run != run || record->confirmed_at)
    {
        return;
    }
    if (response == start_answer::accepted)
    {
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
        record->is_unresolved = true;
        return;
    }
    worker.responded_at = now;
    const bool was_current = is_current_run(worker, key, run);
    const auto ordered_at = record->ordered_at;
    worker.erase_run(key);
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
    if (response == start_answer::superseded)
    {
        state_.is_superseded = true;
    }
    // An entry that arrived after the order may show another address, and may
    // not change again.
    if (response == start_answer::other_worker && worker.listed_at < ordered_at)
    {
        worker.is_unlisted = true;
    }
    if (was_current)
    {
        state_.requeue(key, to_text(response));
    }
}

void report_intake::on_stop_confirmed(fleet_worker& worker, const task_key& key,
                                      std::uint32_t run, time_point now)
{
    auto* const record = worker.find_run(key);
    if (record != nullptr && record->run == run && !record->stop_confirmed_at)
    {
        record->stop_confirmed_at = now;
        worker.next_poll = std::min(worker.next_poll, now);
    }
}

bool report_intake::may_execute_after_restart(const fleet_worker& worker,
                                              const run_record& run,
                                              time_point now) const
{
    // A long-running task must run again within seconds. A worker that has
    // left the list and is silent is taken for gone: it would be listed again
    // after a restart.
    const bool is_gone = worker.is_unlisted && !worker.has_malformed_entry;
    const bool is_urgent = run.is_long_running && is_gone;
    return !is_urgent && now - run.ordered_at < state_.options.max_order_delay;
}

void report_intake::check_lease_expiry(fleet_worker& worker, time_point now)
{
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
        if (may_execute_after_restart(worker, run, now))
        {
            pending_starts.emplace_back(key, run);
            continue;
        }
        worker.given_up.emplace_back(key, run.run);
    }
    std::ranges::for_each(pending_starts, [&](const auto& entry) {
        worker.erase_run(entry.first);
    });
    crashes_.on_requeue(worker, now);
    drop_runs(worker, "leases on the worker expired");
    for (const auto& [key, run] : pending_starts)
    {
        worker.add_run(key, run);
    }
}

void report_intake::on_worker_ended(fleet_worker& worker, fleet_worker& later,
                                    time_point now)
{
    crashes_.on_unnoticed_restart(worker, now);
    worker.has_ended = true;
    state_.log_event("worker has ended",
                     {{"worker", worker.entry.id.value()},
                      {"vm", worker.entry.vm.value()},
                      {"later_worker", later.entry.id.value()}});
    drop_runs(worker, "a later worker runs on its VM");
    if (worker.has_been_seen())
    {
        crashes_.on_end(worker, worker.entry.id, now);
    }
    if (!worker.entry.is_leaving)
    {
        later.vm_crashed_at = now;
    }
}

void report_intake::drop_runs(fleet_worker& worker, std::string_view reason)
{
    while (!worker.runs().empty())
    {
        const auto key = worker.runs().begin()->first;
        const auto run = worker.runs().begin()->second.run;
        const auto checkpoint = worker.runs().begin()->second.checkpoint;
        const bool was_current = is_current_run(worker, key, run);
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
