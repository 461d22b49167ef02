// Messages to and from the agent of a worker VM.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.hpp"
#include "core/resources.hpp"
#include "core/time.hpp"

namespace hemlockdeal
{

enum class task_state
{
    running,
    finished,
    failed,
    stopped
};

struct task_attempt
{
    task_id task;
    attempt number;

    friend auto operator<=>(const task_attempt&, const task_attempt&) = default;
};

// Status of a task as reported by the worker. Finished, failed and stopped
// tasks remain in the report until they are acknowledged.
struct task_status
{
    task_attempt id;
    shard_id shard;
    epoch started_epoch;
    task_state state = task_state::running;
    resources used;
    std::string checkpoint; // object store name; empty if none
    double progress = 0.0;  // 0 to 1
    std::string error;
};

// Requests a report. The worker then rejects lower epochs (assumption W1).
struct worker_report_request
{
    shard_id shard;
    epoch owner_epoch;
    std::vector<task_attempt> acknowledged;
};

struct worker_report
{
    std::string start_token; // required by each start (W5)
    std::vector<task_status> tasks;
    resources used;
};

enum class worker_verb
{
    start,
    renew,
    checkpoint,
    throttle,
    stop
};

struct worker_command
{
    worker_verb verb = worker_verb::start;
    task_attempt id;
    // Start only.
    resources size;
    std::string payload;
    std::string checkpoint;
    duration declared_run_time{};
    // Start and renew: the worker stops the task unless the lease is renewed in
    // time.
    duration lease{};
    // Throttle only: share of its processors that the task retains, 0 to 1.
    double share = 1.0;
    // Start only: class under which the worker reports the task's usage.
    class_id work_class;
};

struct worker_command_batch
{
    shard_id shard;
    epoch owner_epoch;
    std::string start_token;
    std::vector<worker_command> commands;
};

enum class command_outcome
{
    done,
    refused
};

struct worker_command_result
{
    task_attempt id;
    worker_verb verb = worker_verb::start;
    command_outcome outcome = command_outcome::done;
    std::string reason;
};

// The worker has seen a higher epoch: the sender no longer owns the shard.
struct worker_fenced
{
    epoch current;
};

struct worker_unreachable
{
    std::string reason;
};

using worker_report_reply =
    std::variant<worker_report, worker_fenced, worker_unreachable>;
using worker_command_reply = std::variant<std::vector<worker_command_result>,
                                          worker_fenced, worker_unreachable>;

} // namespace hemlockdeal
