// Adoption, progress and tail latency of the runs in worker reports.
#include "jobs/reported_run_handler.hpp"

#include <algorithm>
#include <utility>

#include "jobs/current_run.hpp"

namespace hemlockdeal::jobs
{

namespace
{

// Longer than the interval between two reports of a worker with serving and
// fill tasks.
constexpr duration min_time_below_target = std::chrono::milliseconds(700);

} // namespace

void reported_run_handler::on_report(fleet_worker& worker,
                                     const worker_report& report,
                                     time_point now)
{
    for (const auto& reported : report.running)
    {
        handle_running(worker, reported, now);
    }
    if (!adopted_tasks_.empty())
    {
        // A single log event, because a new leader finds thousands of runs at
        // once.
        state_.log_event("adopted runs of an earlier leader",
                         {{"worker", worker.entry.id.value()},
                          {"tasks", std::exchange(adopted_tasks_, {})}});
    }
}

void reported_run_handler::handle_running(fleet_worker& worker,
                                          const running_task& reported,
                                          time_point now)
{
    auto* run = worker.find_run(reported.task);
    if (run != nullptr && run->run > reported.run &&
        is_current_run(state_, worker, reported.task, run->run))
    {
        // A late start. The later one stays in the ledger, so that its task is
        // started again if the worker refuses it.
        stop_earlier_run(worker, reported, now);
        return;
    }
    if (run == nullptr || run->run != reported.run)
    {
        adopt_run(worker, reported, now);
        run = worker.find_run(reported.task);
    }
    note_found(worker, reported.task, *run);
    run->missing = 0;
    run->last_reported_at = now;
    run->is_unresolved = false;
    if (!run->confirmed_at)
    {
        run->confirmed_at = now;
        run->progressed_at = now;
    }
    if (!is_current_run(state_, worker, reported.task, reported.run))
    {
        state_.order_stop(worker, reported.task, now, "run no longer needed");
        return;
    }
    update_progress(worker, reported.task, *run, reported, now);
    crashes_.on_run_reported(worker, reported.task, *run, now);
}

void reported_run_handler::stop_earlier_run(fleet_worker& worker,
                                            const running_task& reported,
                                            time_point now)
{
    const bool is_being_stopped =
        std::ranges::any_of(worker.given_up, [&](const given_up_start& start) {
            return start.task == reported.task && start.run == reported.run;
        });
    if (is_being_stopped)
    {
        return;
    }
    state_.log_event("stopping run",
                     {{"task", to_text(reported.task)},
                      {"run", std::to_string(reported.run)},
                      {"worker", worker.entry.id.value()},
                      {"why", "a later run of the task was ordered"}});
    // Repeated until the worker confirms it.
    given_up_start earlier{reported.task, reported.run, now, now};
    const auto& later = *worker.find_run(reported.task);
    earlier.account = later.account;
    earlier.size = later.size;
    state_.may_have_given_up_starts = true;
    worker.given_up.push_back(earlier);
    state_.orders.emplace_back(
        stop_order{worker.entry.id, reported.task, reported.run});
}

void reported_run_handler::adopt_run(fleet_worker& worker,
                                     const running_task& reported,
                                     time_point now)
{
    auto* const owner = state_.registry.find(reported.task.job);
    const bool is_known = owner != nullptr && owner->has(reported.task);
    const step unknown_step;
    const auto& step = is_known ? owner->step_of(reported.task) : unknown_step;
    // The run is past its start-up as far as is known.
    auto adopted = is_known ? make_run(owner->definition(), step, reported.run,
                                       now - start_up_time)
                            : make_run(step, reported.run, now - start_up_time);
    adopted.is_adopted = true;
    adopted.has_unknown_age = true;
    // The job is over, so nothing is started beside the run until it has ended.
    adopted.has_unknown_size = !is_known;
    if (const auto ended = is_known
                               ? std::nullopt
                               : state_.registry.adopt_ended(reported.task))
    {
        adopted.account = ended->account;
        adopted.size = ended->size;
    }
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
    adopted_tasks_ +=
        (adopted_tasks_.empty() ? "" : ",") + to_text(reported.task);
}

void reported_run_handler::update_progress(fleet_worker& worker,
                                           const task_key& key, run_record& run,
                                           const running_task& reported,
                                           time_point now)
{
    run.measurement = reported.measurement;
    record_tail(worker, run, now);
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
            auto& owner = *state_.registry.find(key.job);
            owner.task(key).failed_on.add(worker.entry.id);
            avoidance_.on_failure(worker, owner, {key, run.ordered_at}, now);
        }
        state_.order_stop(worker, key, now,
                          "run made no progress within the stall limit");
    }
}

void reported_run_handler::record_tail(fleet_worker& worker, run_record& run,
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

time_point
reported_run_handler::earliest_time_over_target(const run_record& run,
                                                time_point now) const
{
    // The earlier leader may have waited for part of the limit already.
    return run.is_adopted
               ? now - state_.options.harm_limit / 4
               : std::max(run.below_at, run.confirmed_at.value_or(now));
}

} // namespace hemlockdeal::jobs
