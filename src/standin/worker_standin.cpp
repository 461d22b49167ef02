// Stand-in of the agent of one worker VM.
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

// W5: a start presents a token that was issued at most this long ago.
constexpr milliseconds token_life{2500};
// Time until a task fails at a worker that fails everything.
constexpr milliseconds broken_worker_delay{50};

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

worker_standin::worker_standin(const json::object& vm,
                               worker_surroundings& shared)
    : id_(json_fields::text(vm, "id")), zone_(json_fields::text(vm, "zone")),
      size_(size_of(vm)), shared_(shared)
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
    if (!raise_epoch(message))
    {
        const auto& current = epochs_[json_fields::text(message, "shard")];
        return {409, json::serialize(json::object{{"epoch", current}})};
    }
    return path == "/worker/report" ? report(message, now)
                                    : command(message, now);
}

// W1. False when the message has a lower epoch than an earlier one.
bool worker_standin::raise_epoch(const json::object& message)
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
    resources used_by_all;
    std::ranges::for_each(tasks_, [&](const auto& entry) {
        tasks.push_back(status_of(entry.first, entry.second, now));
        used_by_all += used(entry.second, now);
    });
    return {200, json::serialize(json::object{
                     {"token", issue_token(now)},
                     {"tasks", std::move(tasks)},
                     {"processors_milli_used", used_by_all.processors.value},
                     {"memory_mb_used", used_by_all.memory.value}})};
}

json::object worker_standin::status_of(const run_key& run, const task_run& task,
                                       standin_time now) const
{
    const auto usage = used(task, now);
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

// What the task used one lag ago; a task that is younger shows nothing.
resources worker_standin::used(const task_run& task, standin_time now) const
{
    if (task.state != "running")
    {
        return {};
    }
    const auto moment = now - shared_.settings.usage_lag;
    const auto later = std::ranges::find_if(
        task.shares, [&](const auto& entry) { return entry.first > moment; });
    if (later == task.shares.begin())
    {
        return {};
    }
    const auto scaled = [&](std::int64_t amount, double factor) {
        return static_cast<std::int64_t>(static_cast<double>(amount) * factor);
    };
    const auto share = std::prev(later)->second;
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
    while (tokens_.front().first + token_life < now)
    {
        tokens_.pop_front();
    }
    return tokens_.back().second;
}

bool worker_standin::token_valid(const std::string& token,
                                 standin_time now) const
{
    return std::ranges::any_of(tokens_, [&](const auto& issued) {
        return issued.second == token && now <= issued.first + token_life;
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
                                        : change(run, verb, command, now);
    return {{"task", run.first},
            {"attempt", run.second},
            {"outcome", reason.empty() ? "ok" : "refused"},
            {"reason", reason}};
}

// Returns why the start is refused, empty when it is not.
std::string worker_standin::start(const run_key& run,
                                  const json::object& command,
                                  const json::object& batch, standin_time now)
{
    if (tasks_.contains(run) || acknowledged_.contains(run))
    {
        return {};
    }
    if (!token_valid(json_fields::text_or_empty(batch, "token"), now))
    {
        return "the start token is unknown or older than 2.5 s";
    }
    task_run task;
    task.size = size_of(command);
    const auto next_committed = committed() + task.size;
    if (shared_.settings.enforce_size && !next_committed.fits_in(size_))
    {
        return "the VM is full";
    }
    task.shard = json_fields::text(batch, "shard");
    task.epoch = json_fields::count(batch, "epoch");
    task.checkpoint = json_fields::text_or_empty(command, "checkpoint");
    const auto resumed = shared_.checkpoints.find(task.checkpoint);
    task.progress =
        resumed == shared_.checkpoints.end() ? 0.0 : resumed->second;
    task.lease_until =
        now + milliseconds(json_fields::integer_or(command, "lease_ms", 0));
    task.next_checkpoint = now + shared_.settings.checkpoint_interval;
    task.shares.emplace_back(now, 1.0);
    // A payload may say how the task differs from what was declared.
    boost::system::error_code no_json;
    const auto payload =
        json::parse(json_fields::text_or_empty(command, "payload"), no_json);
    const json::object none;
    const auto& real = payload.is_object() ? payload.get_object() : none;
    task.use_factor = json_fields::number_or(real, "use_factor", 1.0);
    task.fails = json_fields::number_or(real, "fails", 0.0) != 0.0;
    task.run_time = std::chrono::duration<double, std::milli>(
        json_fields::number_or(command, "declared_run_time_ms", 0.0) *
        json_fields::number_or(real, "run_factor",
                               shared_.settings.run_factor));
    if (shared_.faults.draw("worker", id_).mode == fault_mode::fail_all)
    {
        task.fails_at = now + broken_worker_delay;
    }
    shared_.record.count_start(run, id_, zone_);
    shared_.record.count_committed(id_, next_committed, size_);
    tasks_.emplace(run, std::move(task));
    return {};
}

// Returns why the command is refused, empty when it is not.
std::string worker_standin::change(const run_key& run, const std::string& verb,
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
            end(run, found->second, "stopped", run_end::stopped, {});
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
    shared_.checkpoints[task.checkpoint] = task.progress;
}

void worker_standin::end(const run_key& run, task_run& task, const char* state,
                         run_end how, std::string error)
{
    task.state = state;
    task.error = std::move(error);
    shared_.record.count_end(run, id_, how);
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
            end(run, task, "failed", run_end::failed, "the worker is broken");
        }
        else if (task.progress >= 1.0 && task.fails)
        {
            end(run, task, "failed", run_end::failed, "the task failed");
        }
        else if (task.progress >= 1.0)
        {
            end(run, task, "finished", run_end::finished, {});
        }
        else if (task.lease_until <= now)
        {
            end(run, task, "stopped", run_end::lease_expired,
                "the task's lease expired");
        }
        else if (task.next_checkpoint <= now)
        {
            record_checkpoint(run, task);
            task.next_checkpoint = now + shared_.settings.checkpoint_interval;
        }
    });
}

void worker_standin::lose()
{
    std::ranges::for_each(tasks_, [&](auto& entry) {
        if (entry.second.state == "running")
        {
            end(entry.first, entry.second, "stopped", run_end::vm_lost, {});
        }
    });
    tasks_.clear();
}

} // namespace hemlockdeal
