// Requests and commands to workers, and what their reports change.
#include "batch/worker_driver.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace hemlockdeal
{

namespace
{

// The adapter answers every request; this only covers a lost answer.
constexpr duration request_timeout = std::chrono::seconds(3);
constexpr duration ask_again = std::chrono::milliseconds(200);
// A start that could not be sent for this long is taken back, so that the
// task may go to another worker.
constexpr duration unsent_limit = std::chrono::seconds(5);

bool awaits_sending(const batch_task& task)
{
    return task.phase == task_phase::intent && !task.runtime.start_sent &&
           !task.runtime.adopted;
}

worker_command command_for(worker_verb verb, const task_attempt& id)
{
    worker_command command;
    command.verb = verb;
    command.id = id;
    return command;
}

task_attempt attempt_of(const task_ref& ref)
{
    return {{ref.part->job.id, ref.index}, attempt(ref.task().attempt)};
}

} // namespace

worker_driver::worker_driver(shard_state& state) : state_(state)
{}

void worker_driver::on_tick(time_point now)
{
    if (!state_.may_act(now))
    {
        return;
    }
    std::erase_if(sent_, [&](const auto& item) {
        return now - item.second.sent_at >
               2 * state_.context.options.task_lease;
    });
    for (auto& [id, worker] : state_.ledger.workers())
    {
        if (worker.next_visit_at <= now)
        {
            visit(worker, now);
        }
    }
    state_.ledger.remove_gone();
}

void worker_driver::visit(worker_state& worker, time_point now)
{
    const batch_options& options = state_.context.options;
    if (worker.absent_since &&
        now - std::max(*worker.absent_since, worker.report_received_at) >=
            options.worker_gone_after)
    {
        end_tasks_of_gone(worker, now);
    }
    worker.next_visit_at = now + ask_again;
    if (worker.address.empty())
    {
        return;
    }
    if (worker.asked_at && now - *worker.asked_at > request_timeout)
    {
        worker.asked_at.reset();
    }
    if (!worker.asked_at && now >= worker.next_report_at)
    {
        ask(worker, now);
    }
    renew_and_stop(worker, now);
    start(worker, now);
    const bool busy =
        std::ranges::any_of(worker.assigned, [](const task_ref& ref) {
            const batch_task& task = ref.task();
            return awaits_sending(task) || task.runtime.stop_wanted;
        });
    if (!busy)
    {
        worker.next_visit_at =
            std::min(worker.next_report_at, worker.next_renew_at);
        if (worker.asked_at)
        {
            worker.next_visit_at =
                std::min(worker.next_visit_at, now + request_timeout);
        }
        if (worker.absent_since)
        {
            worker.next_visit_at =
                std::min(worker.next_visit_at, now + options.command_retry);
        }
        worker.next_visit_at = std::max(worker.next_visit_at, now + ask_again);
    }
}

void worker_driver::end_tasks_of_gone(worker_state& worker, time_point now)
{
    const std::vector<task_ref> assigned = worker.assigned;
    for (const task_ref& ref : assigned)
    {
        // An older list than the one that showed the worker proves nothing.
        if (ref.task().list_version < state_.context.members.version &&
            !state_.withdraw(ref, now))
        {
            state_.end(ref, attempt_end::lost, now);
        }
    }
}

void worker_driver::ask(worker_state& worker, time_point now)
{
    worker.asked_at = now;
    worker.next_report_at = now + state_.context.options.report_interval;
    state_.context.actions.emplace_back(ask_for_report{
        worker.id,
        worker.address,
        {state_.id, state_.owner_epoch, std::move(worker.acknowledge)}});
    worker.acknowledge.clear();
}

void worker_driver::send(worker_state& worker,
                         std::vector<worker_command> commands,
                         std::string token, time_point now)
{
    const std::uint64_t number = state_.context.next_command_number++;
    sent_.emplace(number, sent_batch{worker.id, commands, now});
    state_.context.actions.emplace_back(
        send_commands{number,
                      worker.id,
                      worker.address,
                      {state_.id, state_.owner_epoch, std::move(token),
                       std::move(commands)}});
}

void worker_driver::renew_and_stop(worker_state& worker, time_point now)
{
    const batch_options& options = state_.context.options;
    std::vector<worker_command> commands;
    const bool renew = worker.reported && now >= worker.next_renew_at;
    if (worker.assigned.empty())
    {
        worker.next_renew_at = now + options.renew_interval;
        return;
    }
    for (const task_ref& ref : worker.assigned)
    {
        batch_task& task = ref.task();
        if (awaits_sending(task))
        {
            continue;
        }
        if (renew)
        {
            worker_command& command = commands.emplace_back(
                command_for(worker_verb::renew, attempt_of(ref)));
            command.lease = options.task_lease;
        }
        if (task.runtime.stop_wanted && now >= task.runtime.next_stop_at)
        {
            task.runtime.next_stop_at = now + options.command_retry;
            commands.push_back(
                command_for(worker_verb::checkpoint, attempt_of(ref)));
            commands.push_back(command_for(worker_verb::stop, attempt_of(ref)));
        }
    }
    if (renew)
    {
        worker.next_renew_at = now + options.renew_interval;
    }
    if (!commands.empty())
    {
        send(worker, std::move(commands), {}, now);
    }
}

bool worker_driver::token_allows_start(const worker_state& worker,
                                       time_point now) const
{
    const batch_context& context = state_.context;
    if (!context.options.safeguards.check_freshness_before_start)
    {
        return worker.reported &&
               now - worker.report_received_at <= context.options.token_fresh;
    }
    return worker.reported && !worker.token.empty() &&
           now - worker.report_received_at <= context.options.token_fresh &&
           context.configuration.may_start(state_.id.zone,
                                           worker.report_received_at, now);
}

void worker_driver::start(worker_state& worker, time_point now)
{
    batch_context& context = state_.context;
    const bool out = context.zone_is_out(state_.id.zone) &&
                     context.options.safeguards.check_freshness_before_start;
    std::vector<task_ref> ready;
    bool waits_for_journal = false;
    const std::vector<task_ref> assigned = worker.assigned;
    for (const task_ref& ref : assigned)
    {
        batch_task& task = ref.task();
        if (!awaits_sending(task))
        {
            continue;
        }
        if (out || !worker.listed || worker.unusable ||
            task.runtime.stop_wanted ||
            now - task.runtime.intended_at > unsent_limit)
        {
            state_.withdraw(ref, now);
            continue;
        }
        if (task.runtime.intent_durable ||
            !context.options.safeguards.journal_before_start)
        {
            ready.push_back(ref);
        }
        else if (worker.report_received_at < task.runtime.intended_at)
        {
            waits_for_journal = true;
        }
    }
    if (ready.empty() && !waits_for_journal)
    {
        return;
    }
    if (ready.empty() || !token_allows_start(worker, now))
    {
        // A fresh token by the time the intent is durable.
        if (!worker.asked_at && now - worker.report_received_at >= ask_again)
        {
            ask(worker, now);
        }
        return;
    }
    std::vector<worker_command> commands;
    for (const task_ref& ref : ready)
    {
        batch_task& task = ref.task();
        const job_submission& job = ref.part->job;
        worker_command command =
            command_for(worker_verb::start, attempt_of(ref));
        command.size = job.task_size;
        command.payload = job.payload;
        command.declared_run_time = job.declared_run_time;
        command.lease = context.options.task_lease;
        command.work_class = job.work_class;
        if (context.options.safeguards.resume_from_checkpoint)
        {
            command.checkpoint = task.checkpoint;
        }
        task.runtime.start_sent = true;
        task.runtime.settled_at =
            worker.report_received_at + context.options.token_lifetime;
        task.runtime.started_at = now;
        task.runtime.checkpointed_at = now;
        state_.record_event("task.start", *ref.part, task);
        commands.push_back(std::move(command));
    }
    send(worker, std::move(commands), worker.token, now);
}

void worker_driver::hold(time_point now)
{
    const batch_options& options = state_.context.options;
    if (!state_.active || state_.lost || !options.workers_fence)
    {
        return;
    }
    for (auto& [id, worker] : state_.ledger.workers())
    {
        if (!worker.reported || worker.address.empty() ||
            now < worker.next_renew_at)
        {
            continue;
        }
        worker.next_renew_at = now + options.renew_interval;
        std::vector<worker_command> commands;
        for (const task_ref& ref : worker.assigned)
        {
            if (ref.task().phase == task_phase::running)
            {
                worker_command& command = commands.emplace_back(
                    command_for(worker_verb::renew, attempt_of(ref)));
                command.lease = options.task_lease;
            }
        }
        if (!commands.empty())
        {
            send(worker, std::move(commands), {}, now);
        }
    }
}

void worker_driver::on_fenced(const worker_fenced& fenced)
{
    if (fenced.current > state_.owner_epoch)
    {
        state_.lost = true;
    }
}

bool worker_driver::on_command_reply(std::uint64_t number,
                                     const worker_command_reply& reply,
                                     time_point now)
{
    const auto found = sent_.find(number);
    if (found == sent_.end())
    {
        return false;
    }
    const sent_batch sent = std::move(found->second);
    sent_.erase(found);
    if (const auto* fenced = std::get_if<worker_fenced>(&reply))
    {
        on_fenced(*fenced);
        return true;
    }
    worker_state* worker = state_.ledger.find(sent.worker);
    if (worker == nullptr || !state_.active)
    {
        return true;
    }
    const auto* results =
        std::get_if<std::vector<worker_command_result>>(&reply);
    if (results == nullptr)
    {
        // The next report tells what became of the commands.
        worker->next_report_at = std::min(
            worker->next_report_at, now + state_.context.options.command_retry);
        worker->next_visit_at =
            std::min(worker->next_visit_at, worker->next_report_at);
        return true;
    }
    for (const worker_command_result& answer : *results)
    {
        take_result(sent, answer, now);
    }
    return true;
}

void worker_driver::take_result(const sent_batch& sent,
                                const worker_command_result& answer,
                                time_point now)
{
    job_part* part = state_.find_part(answer.id.task.job);
    batch_task* task =
        part == nullptr ? nullptr : part->find(answer.id.task.index);
    worker_state* worker = state_.ledger.find(sent.worker);
    if (task == nullptr || worker == nullptr || !task->is_active() ||
        task->attempt != answer.id.number.value() ||
        task->worker != sent.worker)
    {
        return;
    }
    const task_ref ref{part, task->index};
    const bool done = answer.outcome == command_outcome::done;
    if (answer.verb == worker_verb::start)
    {
        if (done)
        {
            task->phase = task_phase::running;
            task->runtime.settled_at = std::min(task->runtime.settled_at, now);
        }
        else if (task->phase == task_phase::intent)
        {
            worker->no_starts_until =
                now + state_.context.options.command_retry;
            state_.end(ref, attempt_end::voided, now);
        }
        return;
    }
    if (answer.verb == worker_verb::stop || !done)
    {
        worker->next_report_at = std::min(worker->next_report_at, now);
        worker->next_visit_at = std::min(worker->next_visit_at, now);
    }
}

void worker_driver::on_flushed(const std::vector<journal_entry>& batch,
                               time_point now)
{
    for (const journal_entry& entry : batch)
    {
        const auto* start = entry.record
                                ? std::get_if<start_intended>(&*entry.record)
                                : nullptr;
        job_part* part =
            start == nullptr ? nullptr : state_.find_part(start->job);
        batch_task* task = part == nullptr ? nullptr : part->find(start->index);
        if (task == nullptr || !task->is_active() ||
            task->attempt != start->attempt)
        {
            continue;
        }
        task->runtime.intent_durable = true;
        if (task->runtime.stop_wanted &&
            state_.withdraw({part, task->index}, now))
        {
            continue;
        }
        worker_state* worker = state_.ledger.find(task->worker);
        if (worker != nullptr)
        {
            worker->next_visit_at = std::min(worker->next_visit_at, now);
        }
    }
}

void worker_driver::throttle(const task_ref& ref, double share, time_point now)
{
    batch_task& task = ref.task();
    worker_state* worker = state_.ledger.find(task.worker);
    if (worker == nullptr || task.runtime.share == share)
    {
        return;
    }
    task.runtime.share = share;
    worker_command command =
        command_for(worker_verb::throttle, attempt_of(ref));
    command.share = share;
    send(*worker, {std::move(command)}, {}, now);
}

bool worker_driver::has_unanswered_starts(time_point now) const
{
    return std::ranges::any_of(sent_, [&](const auto& item) {
        return now - item.second.sent_at < request_timeout &&
               std::ranges::any_of(
                   item.second.commands, [](const worker_command& command) {
                       return command.verb == worker_verb::start;
                   });
    });
}

} // namespace hemlockdeal
