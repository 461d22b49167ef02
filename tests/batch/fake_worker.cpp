// Behaviour of the tests' worker.
#include <algorithm>
#include <functional>

#include "batch/fake_worker.hpp"

namespace hemlockdeal::test
{

using namespace std::chrono_literals;

void fake_worker::advance(time_point now)
{
    for (auto& [attempt_id, run] : tasks)
    {
        if (run.state != task_state::running)
        {
            continue;
        }
        const time_point ends =
            run.started + (fails_everything
                               ? duration(100ms)
                               : run.run_time - run.progress_at_start);
        if (ends <= std::min(now, run.lease_until))
        {
            run.state =
                fails_everything ? task_state::failed : task_state::finished;
        }
        else if (run.lease_until <= now)
        {
            run.state = task_state::stopped;
        }
    }
}

bool fake_worker::is_fenced(const shard_id& shard, epoch sender)
{
    epoch& highest = highest_[shard];
    highest = std::max(highest, sender);
    return sender < highest;
}

worker_report_reply fake_worker::report(const worker_report_request& request,
                                        time_point now)
{
    advance(now);
    if (is_fenced(request.shard, request.owner_epoch))
    {
        return worker_fenced{highest_[request.shard]};
    }
    for (const task_attempt& acknowledged : request.acknowledged)
    {
        const auto found = tasks.find(acknowledged);
        if (found != tasks.end() && found->second.state != task_state::running)
        {
            tasks.erase(found);
        }
    }
    worker_report report;
    report.start_token = id.value() + "-" + std::to_string(next_token_++);
    tokens_[report.start_token] = now;
    for (const auto& [attempt_id, run] : tasks)
    {
        task_status status;
        status.id = run.id;
        status.shard = run.shard;
        status.started_epoch = run.started_epoch;
        status.state = run.state;
        status.used = run.size;
        if (run.has_checkpoint)
        {
            status.checkpoint = std::to_string(run.checkpointed.count());
        }
        report.tasks.push_back(status);
    }
    report.used = used();
    return report;
}

worker_command_reply fake_worker::command(
    const worker_command_batch& batch, time_point now,
    const std::function<void(const worker_command&, const run_of_task&)>&
        started)
{
    advance(now);
    if (is_fenced(batch.shard, batch.owner_epoch))
    {
        return worker_fenced{highest_[batch.shard]};
    }
    std::vector<worker_command_result> results;
    for (const worker_command& c : batch.commands)
    {
        results.push_back(apply(batch, c, now, started));
    }
    return results;
}

worker_command_result fake_worker::apply(
    const worker_command_batch& batch, const worker_command& c, time_point now,
    const std::function<void(const worker_command&, const run_of_task&)>&
        started)
{
    worker_command_result result{c.id, c.verb, command_outcome::done, ""};
    const auto found = tasks.find(c.id);
    const bool running =
        found != tasks.end() && found->second.state == task_state::running;
    if (c.verb == worker_verb::start)
    {
        if (found != tasks.end())
        {
            return result;
        }
        const auto token = tokens_.find(batch.start_token);
        if (token == tokens_.end() || now - token->second > 2500ms)
        {
            result.outcome = command_outcome::refused;
            return result;
        }
        run_of_task run;
        run.id = c.id;
        run.shard = batch.shard;
        run.started_epoch = batch.owner_epoch;
        run.size = c.size;
        run.started = now;
        run.lease_until = now + c.lease;
        run.run_time = duration(std::stoll(c.payload));
        if (!c.checkpoint.empty())
        {
            run.progress_at_start = duration(std::stoll(c.checkpoint));
            run.checkpointed = run.progress_at_start;
            run.has_checkpoint = true;
        }
        started(c, tasks.emplace(c.id, run).first->second);
        return result;
    }
    if (!running)
    {
        result.outcome = command_outcome::refused;
        return result;
    }
    run_of_task& run = found->second;
    if (c.verb == worker_verb::renew)
    {
        run.lease_until = now + c.lease;
    }
    else if (c.verb == worker_verb::checkpoint)
    {
        run.checkpointed = run.progress_at_start + (now - run.started);
        run.has_checkpoint = true;
    }
    else if (c.verb == worker_verb::stop)
    {
        run.state = task_state::stopped;
    }
    return result;
}

bool fake_worker::runs(const task_id& task) const
{
    return std::ranges::any_of(tasks, [&](const auto& item) {
        return item.first.task == task &&
               item.second.state == task_state::running;
    });
}

resources fake_worker::used() const
{
    resources sum;
    for (const auto& [attempt_id, run] : tasks)
    {
        if (run.state == task_state::running)
        {
            sum += run.size;
        }
    }
    return sum;
}

} // namespace hemlockdeal::test
