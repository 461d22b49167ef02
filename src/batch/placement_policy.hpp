// The concept that the batch core requires of a placement policy, with its
// input and output. A policy decides only which tasks run where; the core
// checks every decision against its ledger before it acts on it.
#pragma once

#include <concepts>
#include <cstdint>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/declaration.hpp"
#include "core/ids.hpp"
#include "core/operator_message.hpp"
#include "core/resources.hpp"
#include "core/time.hpp"
#include "core/worker_message.hpp"

namespace hemlockdeal
{

// A task that could start now. The pointers are valid during the call only.
struct waiting_task
{
    const job_submission* job = nullptr;
    const work_class* kind = nullptr; // null when the class is not declared
    std::uint32_t index = 0;
    time_point submitted_at;
    double progress = 0.0; // of the checkpoint that it would resume from
    std::uint32_t evictions = 0;
    // Workers on which this task failed before.
    std::span<const worker_id> failed_on;
};

struct running_task
{
    const job_submission* job = nullptr;
    const work_class* kind = nullptr;
    std::uint32_t index = 0;
    time_point submitted_at;
    time_point started_at;
    time_point checkpointed_at; // or the start, before the first checkpoint
    double progress = 0.0;
    resources used; // as last reported
    double share = 1.0;
    std::uint32_t evictions = 0;
    bool stopping = false; // counts as used but cannot be evicted again
};

struct worker_view
{
    worker_id id;
    rack_id rack;
    resources size;
    // What new tasks may use; nothing while `accepts_starts` is false.
    resources free;
    bool accepts_starts = false;
    std::vector<running_task> running;
};

struct team_quota
{
    team_id team;
    double percent = 0.0;
    resources used; // by the team's tasks in this shard
};

// Tail latency of a class of requests as a share of its target.
struct service_tail
{
    class_id work_class;
    double share_of_target = 0.0;
};

struct placement_input
{
    shard_id shard;
    time_point now;
    std::span<const waiting_task> waiting; // oldest first
    std::span<const worker_view> workers;  // by id
    std::span<const team_quota> quotas;    // by team id
    std::span<const service_tail> tails;
    resources capacity; // of all workers of the shard
    // More placements than this are ignored.
    std::uint32_t starts_at_most = 0;
};

// Indexes into the input.
struct task_placement
{
    std::uint32_t waiting = 0;
    std::uint32_t worker = 0;
};

struct task_eviction
{
    std::uint32_t worker = 0;
    std::uint32_t running = 0;
};

struct task_throttle
{
    std::uint32_t worker = 0;
    std::uint32_t running = 0;
    double share = 1.0; // 1 removes the throttle
};

// Placements are carried out in order as far as they fit. Capacity of evicted
// tasks is free only in a later call, after the worker has stopped them.
struct placement_output
{
    std::vector<task_placement> placements;
    std::vector<task_eviction> evictions;
    std::vector<task_throttle> throttles;
};

// What the policy learns from. References are valid during the call only.
struct task_finished
{
    const job_submission& job;
    std::uint32_t index = 0;
    const worker_id& worker;
    duration ran_for{}; // of this attempt
};

struct task_failed
{
    const job_submission& job;
    std::uint32_t index = 0;
    const worker_id& worker;
    const std::string& error;
};

// After each report of a worker.
struct worker_observed
{
    const worker_view& worker;
};

using policy_observation =
    std::variant<task_finished, task_failed, worker_observed>;

// place() must depend only on its input and on earlier observations. One
// policy object serves one shard, created when the shard is acquired.
template <typename Policy>
concept placement_policy = std::default_initializable<Policy> &&
    std::movable<Policy> &&
    requires(Policy policy, const placement_input& input,
             const policy_observation& observation, time_point now,
             const Policy& constant, const worker_id& worker)
{
    {
        policy.place(input)
        } -> std::same_as<placement_output>;
    {
        policy.observe(observation, now)
        } -> std::same_as<void>;
    // Why a waiting task did not start in the last call; may be empty.
    {
        constant.waiting_reason(std::declval<const job_id&>())
        } -> std::convertible_to<std::string>;
    {
        constant.is_quarantined(worker)
        } -> std::same_as<bool>;
};

} // namespace hemlockdeal
