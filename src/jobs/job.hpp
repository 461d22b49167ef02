// Jobs as clients submit them.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "accounts/accounts.hpp"
#include "core/core.hpp"

namespace hemlockdeal::jobs
{

// Resources that a task occupies on a worker.
struct task_size
{
    std::int64_t processor_millis = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    task_size& operator+=(const task_size& other)
    {
        processor_millis += other.processor_millis;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }
    task_size& operator-=(const task_size& other) { return *this += -other; }

    friend task_size operator-(const task_size& size)
    {
        return {-size.processor_millis, -size.memory_mb, -size.accelerators};
    }
    friend task_size operator+(task_size a, const task_size& b)
    {
        return a += b;
    }
    friend task_size operator*(const task_size& size, std::int64_t count)
    {
        return {size.processor_millis * count, size.memory_mb * count,
                size.accelerators * count};
    }
    friend bool operator==(const task_size&, const task_size&) = default;
};

// Invariant: all numbers in `after` are lower than the step's own number.
struct step
{
    std::uint32_t task_count = 1;
    task_size size;
    duration estimate{};
    // Steps whose tasks must all be done before this one starts.
    std::vector<std::uint32_t> after;
    bool saves_progress = false;
    // The tasks run only together and end together.
    bool is_gang = false;
    bool same_rack = false;
    // Several runs of a task may be active at the same time.
    bool may_run_twice = false;
    // Tasks run until the job is cancelled.
    bool is_long_running = false;
    // Tasks use processors that others leave unused, and reserve none.
    bool fills = false;
    std::string required_label;
    std::string preferred_rack;
    std::string image;
    // Maximum number of tasks of the step on one worker; 0 for no limit.
    std::uint32_t max_per_worker = 0;
    // Limit of the tail latency that the task's clients see; 0 for none.
    duration tail_target{};
    // Maximum number of tasks that the scheduler's own orders may make
    // unavailable at the same time.
    std::uint32_t max_unavailable = 0;
};

// A job whose steps run `count` times, `interval` apart.
struct repetition
{
    std::uint32_t count = 0;
    // Unix time.
    std::chrono::milliseconds first_due{};
    std::chrono::milliseconds interval{};
};

// Scheduling policy of a job. Copied from its queue when the job is accepted,
// because the queue may be removed while the job runs.
struct queue_policy
{
    std::string queue;
    service_id service;
    // 0 is the most urgent.
    int priority = 0;
    std::uint32_t max_attempts = 1;
    // The target duration is `stretch` times the critical path plus `slack`.
    double stretch = 1.0;
    duration slack{};
    // Regions whose workers may run the job; empty for all.
    std::vector<region_id> regions;
    bool needs_advice = false;
};

struct job
{
    job_id id;
    // Opaque text that is passed to every task.
    std::string payload;
    std::vector<step> steps;
    repetition repeats;
    queue_policy policy;
    // The account that owns the job, as it was when the job was accepted: the
    // account may leave the configuration while the job runs. Empty for a job
    // without an owner.
    std::optional<accounts::account_policy> account;
    // Unix time at which the job was accepted.
    std::chrono::milliseconds accepted_at{};

    // A job without repetition has one occurrence.
    std::uint32_t repeats_count() const
    {
        return repeats.count == 0 ? 1 : repeats.count;
    }
};

// Identifies a task by its position in its job.
struct task_key
{
    job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend auto operator<=>(const task_key&, const task_key&) = default;
};

std::string to_text(const task_key& key);

// Parses ID.OCCURRENCE.STEP.INDEX.
std::optional<task_key> parse_task_key(std::string_view text);

// For each step, the length of the longest path of steps that begins with it,
// by the declared estimates.
std::vector<duration> critical_paths_from(const std::vector<step>& steps);

// Maximum number of tasks of a job over all steps and occurrences. The leader
// keeps each task in memory: without a limit, one submission could exhaust the
// memory of every leader in turn.
constexpr std::uint64_t max_tasks_per_job = 20'000;

// Number of tasks of the job, or any number above the limit.
std::uint64_t count_tasks(const job& j);

// Number of the task among all tasks of the job, in the order of occurrences,
// steps and indices.
std::uint64_t number_of(const job& j, std::uint32_t occurrence,
                        std::uint32_t step, std::uint32_t index);

// True if a task of the job, or a gang as a whole, exceeds the cap of the job's
// account, so that it can never start.
bool exceeds_cap(const job& j);

// The account in the stored form of a job; empty if it has none.
account_id account_of_row(std::string_view text);

// Stored form of a job. Decoding returns nothing for text that is not a job or
// for a job with too many tasks.
std::string encode_job(const job& j);
std::optional<job> decode_job(const job_id& id, std::string_view text);

} // namespace hemlockdeal::jobs
