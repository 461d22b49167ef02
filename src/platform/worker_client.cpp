// Client of the agents on worker VMs. Only this file depends on their protocol.
#include "platform/worker_client.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "platform/response.hpp"

namespace hemlockdeal
{

namespace
{

namespace json = boost::json;
const std::string service_name = "worker";

// Job and zone ids may contain slashes, so the number follows the last one.
std::pair<std::string, std::uint32_t> split_numbered(const std::string& text,
                                                     std::string_view name)
{
    const auto slash = text.rfind('/');
    std::uint32_t number = 0;
    const auto* end = text.data() + text.size();
    if (slash == std::string::npos || slash + 1 == text.size())
    {
        json_fields::fail(name, "an id followed by '/' and a number");
    }
    const auto parsed = std::from_chars(text.data() + slash + 1, end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
    {
        json_fields::fail(name, "an id followed by '/' and a number");
    }
    return {text.substr(0, slash), number};
}

std::string encode(const shard_id& shard)
{
    return shard.zone.value() + '/' + std::to_string(shard.number);
}

std::string encode(const task_id& task)
{
    return task.job.value() + '/' + std::to_string(task.index);
}

json::object encode(const task_attempt& id)
{
    return {{"task", encode(id.task)}, {"attempt", id.number.value()}};
}

const char* encode(worker_verb verb)
{
    switch (verb)
    {
    case worker_verb::start:
        return "start";
    case worker_verb::renew:
        return "renew";
    case worker_verb::checkpoint:
        return "checkpoint";
    case worker_verb::throttle:
        return "throttle";
    case worker_verb::stop:
        break;
    }
    return "stop";
}

std::int64_t milliseconds(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

json::object encode(const worker_command& command)
{
    auto out = encode(command.id);
    out["verb"] = encode(command.verb);
    if (command.verb == worker_verb::start)
    {
        out["processors_milli"] = command.size.processors.value;
        out["memory_mb"] = command.size.memory.value;
        out["accelerators"] = command.size.accelerators.value;
        out["payload"] = command.payload;
        out["checkpoint"] = command.checkpoint;
        out["declared_run_time_ms"] = milliseconds(command.declared_run_time);
        out["class"] = command.work_class.value();
    }
    if (command.verb == worker_verb::start ||
        command.verb == worker_verb::renew)
    {
        out["lease_ms"] = milliseconds(command.lease);
    }
    if (command.verb == worker_verb::throttle)
    {
        out["share"] = command.share;
    }
    return out;
}

QByteArray encode(const worker_report_request& request)
{
    json::array acknowledged;
    std::ranges::for_each(request.acknowledged, [&](const task_attempt& id) {
        acknowledged.push_back(encode(id));
    });
    return QByteArray::fromStdString(json::serialize(
        json::object{{"shard", encode(request.shard)},
                     {"epoch", request.owner_epoch.value()},
                     {"acknowledge", std::move(acknowledged)}}));
}

QByteArray encode(const worker_command_batch& batch)
{
    json::array commands;
    std::ranges::for_each(batch.commands, [&](const worker_command& command) {
        commands.push_back(encode(command));
    });
    return QByteArray::fromStdString(
        json::serialize(json::object{{"shard", encode(batch.shard)},
                                     {"epoch", batch.owner_epoch.value()},
                                     {"token", batch.start_token},
                                     {"commands", std::move(commands)}}));
}

task_attempt decode_attempt(const json::object& from)
{
    const auto task = split_numbered(json_fields::text(from, "task"), "task");
    return {{job_id(task.first), task.second},
            attempt(json_fields::count(from, "attempt"))};
}

task_state decode_state(const std::string& text)
{
    if (text == "running")
    {
        return task_state::running;
    }
    if (text == "finished")
    {
        return task_state::finished;
    }
    if (text == "failed")
    {
        return task_state::failed;
    }
    if (text != "stopped")
    {
        json_fields::fail("state", "running, finished, failed or stopped");
    }
    return task_state::stopped;
}

task_status decode_status(const json::object& task)
{
    const auto shard =
        split_numbered(json_fields::text(task, "shard"), "shard");
    task_status out;
    out.id = decode_attempt(task);
    out.shard = {availability_zone_id(shard.first), shard.second};
    out.started_epoch = epoch(json_fields::count(task, "epoch"));
    out.state = decode_state(json_fields::text(task, "state"));
    out.used = {{json_fields::integer_or(task, "processors_milli", 0)},
                {json_fields::integer_or(task, "memory_mb", 0)},
                {json_fields::integer_or(task, "accelerators", 0)}};
    out.checkpoint = json_fields::text_or_empty(task, "checkpoint");
    out.progress = json_fields::number_or(task, "progress", 0.0);
    out.error = json_fields::text_or_empty(task, "error");
    return out;
}

worker_report decode_report(const json::object& response)
{
    worker_report report;
    report.start_token = json_fields::text(response, "token");
    const auto& tasks = json_fields::array(response, "tasks");
    std::ranges::for_each(tasks, [&](const json::value& task) {
        report.tasks.push_back(
            decode_status(json_fields::object(task, "tasks")));
    });
    report.used.processors = {
        json_fields::integer_or(response, "processors_milli_used", 0)};
    report.used.memory = {
        json_fields::integer_or(response, "memory_mb_used", 0)};
    return report;
}

// The results must be in the order in which the commands were sent. Any other
// response is treated as lost, since its results cannot be assigned to
// commands.
std::vector<worker_command_result>
decode_results(const json::object& response,
               std::vector<worker_command_result> expected)
{
    const auto& results = json_fields::array(response, "results");
    if (results.size() != expected.size())
    {
        json_fields::fail("results", "as long as the list of commands");
    }
    std::ranges::transform(
        results, expected, expected.begin(),
        [](const json::value& item, worker_command_result out) {
            const auto& from = json_fields::object(item, "results");
            const auto outcome = json_fields::text(from, "outcome");
            if (decode_attempt(from) != out.id ||
                (outcome != "ok" && outcome != "refused"))
            {
                json_fields::fail("results", "an answer to the commands");
            }
            out.outcome = outcome == "ok" ? command_outcome::done
                                          : command_outcome::refused;
            out.reason = json_fields::text_or_empty(from, "reason");
            return out;
        });
    return expected;
}

// Handles the outcomes that both calls have in common: fenced, unreachable and
// malformed.
template <typename Reply, typename Decode>
Reply reply_of(const call_response& response, Decode decode)
{
    if (response.status != 200 && response.status != 409)
    {
        return worker_unreachable{
            response_error(service_name, response).message};
    }
    auto decoded = decode_response<Reply>(
        service_name, response, [&](const json::object& body) -> Reply {
            if (response.status == 409)
            {
                return worker_fenced{epoch(json_fields::count(body, "epoch"))};
            }
            return decode(body);
        });
    return is_ok(decoded) ? value_of(std::move(decoded))
                          : worker_unreachable{error_of(decoded).message};
}

} // namespace

worker_client::worker_client(http_limits limits) : http_(limits)
{}

void worker_client::report(const std::string& address,
                           const worker_report_request& request,
                           const worker_report_callback& done)
{
    const auto sent = http_.post(
        service_url(address, "/worker/report"), encode(request),
        [done](const call_response& response) {
            done(reply_of<worker_report_reply>(response, decode_report));
        });
    if (!sent)
    {
        http_.post_action([done] {
            done(worker_unreachable{too_many_calls(service_name).message});
        });
    }
}

void worker_client::command(const std::string& address,
                            const worker_command_batch& batch,
                            const worker_command_callback& done)
{
    std::vector<worker_command_result> expected;
    std::ranges::transform(batch.commands, std::back_inserter(expected),
                           [](const worker_command& command) {
                               worker_command_result out;
                               out.id = command.id;
                               out.verb = command.verb;
                               return out;
                           });
    const auto sent = http_.post(
        service_url(address, "/worker/command"), encode(batch),
        [done, expected = std::move(expected)](const call_response& response) {
            done(reply_of<worker_command_reply>(
                response, [&](const json::object& body) {
                    return decode_results(body, expected);
                }));
        });
    if (!sent)
    {
        http_.post_action([done] {
            done(worker_unreachable{too_many_calls(service_name).message});
        });
    }
}

} // namespace hemlockdeal
