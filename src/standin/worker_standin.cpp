// Runs tasks of one worker under leases, epochs and start tokens.
#include "standin/worker_standin.hpp"

#include <algorithm>

#include "platform/json_fields.hpp"
#include "standin/fault_set.hpp"

namespace hemlockdeal
{

namespace json = boost::json;
using std::chrono::milliseconds;

namespace
{

// W5: maximum age of the token that a start command presents.
constexpr milliseconds max_token_age{2500};
// Run time of a task before it fails under the fault `fail_all`.
constexpr milliseconds fail_all_delay{50};

resources size_of(const json::object& from)
{
    return {{json_fields::integer_or(from, "processors_milli", 0)},
            {json_fields::integer_or(from, "memory_mb", 0)},
            {json_fields::integer_or(from, "accelerators", 0)}};
}

run_key run_of(const json::object& from)
{
    return {json_fields::text(from, "task"),
            json_fields::count(from, "attempt")};
}

} // namespace

worker_standin::worker_standin(const json::object& vm, worker_context& context)
    : id_(json_fields::text(vm, "id")), zone_(json_fields::text(vm, "zone")),
      size_(size_of(vm)), context_(context)
{}

http_reply worker_standin::serve(const http_request& request, standin_time now)
{
    advance(now);
    const auto path = path_of(request.target);
    const auto document = json_fields::parse(request.body);
    const auto& message = json_fields::object(document, "request");
    if (path != "/worker/report" && path != "/worker/command")
    {
        return {404, R"({"error": "no such path"})"};
    }
    if (!accept_epoch(message))
    {
        const auto& current = epochs_[json_fields::text(message, "shard")];
        return {409, json::serialize(json::object{{"epoch", current}})};
    }
    return path == "/worker/report" ? report(message, now)
                                    : command(message, now);
}

// W1: returns false when a message of the shard with a higher epoch was
// received before.
bool worker_standin::accept_epoch(const json::object& message)
{
    auto& highest = epochs_[json_fields::text(message, "shard")];
    const auto epoch = json_fields::count(message, "epoch");
    highest = std::max(highest, epoch);
    return epoch == highest;
}

http_reply worker_standin::report(const json::object& message, standin_time now)
{
    if (json_fields::find(message, "acknowledge") != nullptr)
    {
        const auto& runs = json_fields::array(message, "acknowledge");
        std::ranges::for_each(runs, [&](const json::value& item) {
            const auto run = run_of(json_fields::object(item, "acknowledge"));
            const auto found = tasks_.find(run);
            if (found != tasks_.end() && found->second.state != "running")
            {
                tasks_.erase(found);
                acknowledged_.insert(run);
            }
        });
    }
    json::array tasks;
    resources total_usage;
    std::ranges::for_each(tasks_, [&](const auto& entry) {
        tasks.push_back(status_of(entry.first, entry.second, now));
        total_usage += usage_of(entry.second, now);
    });
    return {200, json::serialize(json::object{
                     {"token", issue_token(now)},
                     {"tasks", std::move(tasks)},
                     {"processors_milli_used", total_usage.processors.value},
                     {"memory_mb_used", total_usage.memory.value}})};
}

json::object worker_standin::status_of(const run_key& run, const task_run& task,
                                       standin_time now) const
{
    const auto usage = usage_of(task, now);
    return {{"task", run.first},
            {"attempt", run.second},
            {"shard", task.shard},
            {"epoch", task.epoch},
            {"state", task.state},
            {"processors_milli", usage.processors.value},
            {"memory_mb", usage.memory.value},
            {"accelerators", usage.accelerators.value},
            {"checkpoint", task.checkpoint},
            {"progress", task.progress},
            {"error", task.error}};
}

// Usage of the task as of `now` minus the lag; zero for tasks started later.
resources worker_standin::usage_of(const task_run& task, standin_time now) const
{
    if (task.state != "running")
    {
        return {};
    }
    const auto sample_time = now - context_.settings.usage_lag;
    const auto next_share =
        std::ranges::find_if(task.shares, [&](const auto& entry) {
            return entry.first > sample_time;
        });
    if (next_share == task.shares.begin())
    {
        return {};
    }
    const auto scaled = [&](std::int64_t amount, double factor) {
        return static_cast<std::int64_t>(static_cast<double>(amount) * factor);
    };
    const auto share = std::prev(next_share)->second;
    return {{scaled(task.size.processors.value, share * task.use_factor)},
            {scaled(task.size.memory.value, task.use_factor)},
            task.size.accelerators};
}

resources worker_standin::committed() const
{
    resources sum;
    std::ranges::for_each(tasks_, [&](const auto& entry) {
        if (entry.second.state == "running")
        {
            sum += entry.second.size;
        }
    });
    return sum;
}

std::string worker_standin::issue_token(standin_time now)
{
    tokens_.emplace_back(now, id_ + '-' + std::to_string(++tokens_issued_));
    while (tokens_.front().first + max_token_age < now)
    {
        tokens_.pop_front();
    }
    return tokens_.back().second;
}

bool worker_standin::is_token_valid(const std::string& token,
                                    standin_time now) const
{
    return std::ranges::any_of(tokens_, [&](const auto& issued) {
        return issued.second == token && now <= issued.first + max_token_age;
    });
}

http_reply worker_standin::command(const json::object& message,
                                   standin_time now)
{
    json::array results;
    const auto& commands = json_fields::array(message, "commands");
    std::ranges::for_each(commands, [&](const json::value& item) {
        results.push_back(
            run_command(json_fields::object(item, "commands"), message, now));
    });
    return {200,
            json::serialize(json::object{{"results", std::move(results)}})};
}

json::object worker_standin::run_command(const json::object& command,
                                         const json::object& batch,
                                         standin_time now)
{
    const auto run = run_of(command);
    const auto verb = json_fields::text(command, "verb");
    const auto reason = verb == "start" ? start(run, command, batch, now)
                                        : change_task(run, verb, command, now);
    return {{"task", run.first},
            {"attempt", run.second},
            {"outcome", reason.empty() ? "ok" : "refused"},
            {"reason", reason}};
}

// Returns the reason for refusing the start, empty when it is accepted.
std::string worker_standin::start(const run_key& run,
                                  const json::object& command,
                                  const json::object& batch, standin_time now)
{
    if (tasks_.contains(run) || acknowledged_.contains(run))
    {
        return {};
    }
    if (!is_token_valid(json_fields::text_or_empty(batch, "token"), now))
    {
        return "the start token is unknown or older than 2.5 s";
    }
    task_run task;
    task.size = size_of(command);
    const auto next_committed = committed() + task.size;
    if (context_.settings.enforce_size && !next_committed.fits_in(size_))
    {
        return "the VM is full";
    }
    task.shard = json_fields::text(batch, "shard");
    task.epoch = json_fields::count(batch, "epoch");
    task.checkpoint = json_fields::text_or_empty(command, "checkpoint");
    const auto stored = context_.checkpoints.find(task.checkpoint);
    task.progress = stored == context_.checkpoints.end() ? 0.0 : stored->second;
    task.lease_until =
        now + milliseconds(json_fields::integer_or(command, "lease_ms", 0));
    task.next_checkpoint = now + context_.settings.checkpoint_interval;
    task.shares.emplace_back(now, 1.0);
    // The payload may override the declared behaviour of the task.
    boost::system::error_code parse_error;
    const auto payload = json::parse(
        json_fields::text_or_empty(command, "payload"), parse_error);
    const json::object empty;
    const auto& overrides = payload.is_object() ? payload.get_object() : empty;
    task.use_factor = json_fields::number_or(overrides, "use_factor", 1.0);
    task.fails = json_fields::number_or(overrides, "fails", 0.0) != 0.0;
    task.run_time = std::chrono::duration<double, std::milli>(
        json_fields::number_or(command, "declared_run_time_ms", 0.0) *
        json_fields::number_or(overrides, "run_factor",
                               context_.settings.run_factor));
    if (context_.faults.draw("worker", id_).mode == fault_mode::fail_all)
    {
        task.fails_at = now + fail_all_delay;
    }
    context_.record.count_start(run, id_, zone_);
    context_.record.count_committed(id_, next_committed, size_);
    tasks_.emplace(run, std::move(task));
    return {};
}

// Returns the reason for refusing the command, empty when it is accepted.
std::string worker_standin::change_task(const run_key& run,
                                        const std::string& verb,
                                        const json::object& command,
                                        standin_time now)
{
    const auto found = tasks_.find(run);
    const auto running =
        found != tasks_.end() && found->second.state == "running";
    if (verb == "stop")
    {
        if (running)
        {
            end(run, found->second, "stopped", run_outcome::stopped, {});
        }
        return {};
    }
    if (!running)
    {
        return "the task does not run here";
    }
    auto& task = found->second;
    if (verb == "renew")
    {
        task.lease_until =
            now + milliseconds(json_fields::integer_or(command, "lease_ms", 0));
        return {};
    }
    if (verb == "checkpoint")
    {
        record_checkpoint(run, task);
        return {};
    }
    if (verb == "throttle")
    {
        task.share =
            std::clamp(json_fields::number_or(command, "share", 1.0), 0.0, 1.0);
        task.shares.emplace_back(now, task.share);
        return {};
    }
    return "unknown verb";
}

void worker_standin::record_checkpoint(const run_key& run, task_run& task)
{
    task.checkpoint = "checkpoint/" + run.first + '/' +
                      std::to_string(run.second) + '/' +
                      std::to_string(static_cast<int>(task.progress * 1e6));
    context_.checkpoints[task.checkpoint] = task.progress;
}

void worker_standin::end(const run_key& run, task_run& task, const char* state,
                         run_outcome outcome, std::string error)
{
    task.state = state;
    task.error = std::move(error);
    context_.record.count_end(run, id_, outcome);
}

void worker_standin::advance(standin_time now)
{
    const auto step = std::chrono::duration<double>(now - advanced_at_);
    advanced_at_ = now;
    std::ranges::for_each(tasks_, [&](auto& entry) {
        auto& [run, task] = entry;
        if (task.state != "running")
        {
            return;
        }
        task.progress =
            task.run_time.count() <= 0.0
                ? 1.0
                : std::min(1.0,
                           task.progress + step / task.run_time * task.share);
        if (task.fails_at <= now)
        {
            end(run, task, "failed", run_outcome::failed,
                "the worker is broken");
        }
        else if (task.progress >= 1.0 && task.fails)
        {
            end(run, task, "failed", run_outcome::failed, "the task failed");
        }
        else if (task.progress >= 1.0)
        {
            end(run, task, "finished", run_outcome::finished, {});
        }
        else if (task.lease_until <= now)
        {
            end(run, task, "stopped", run_outcome::lease_expired,
                "the task's lease expired");
        }
        else if (task.next_checkpoint <= now)
        {
            record_checkpoint(run, task);
            task.next_checkpoint = now + context_.settings.checkpoint_interval;
        }
    });
}

void worker_standin::terminate()
{
    std::ranges::for_each(tasks_, [&](auto& entry) {
        if (entry.second.state == "running")
        {
            end(entry.first, entry.second, "stopped", run_outcome::vm_lost, {});
        }
    });
    tasks_.clear();
}

} // namespace hemlockdeal
