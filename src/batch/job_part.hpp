// One job's tasks in one shard, and the journal records that change them. The
// records are the only way to change what must survive the owner, so recovery
// applies the same function as the running owner.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.hpp"
#include "core/operator_message.hpp"
#include "core/resources.hpp"
#include "core/time.hpp"

namespace hemlockdeal
{

enum class task_phase : std::uint8_t
{
    waiting,
    intent, // journalled to start; may or may not run
    running,
    finished,
    failed,
    cancelled
};

// What only the present owner knows about an attempt.
struct attempt_runtime
{
    bool intent_durable = false;
    bool start_sent = false;
    bool stop_wanted = false;
    // Adopted from an earlier owner and not yet listed by the worker.
    bool adopted = false;
    // A report requested at or after this time that does not list the attempt
    // proves that it does not run and never will.
    time_point settled_at = time_point::max();
    time_point intended_at;
    time_point started_at;
    time_point checkpointed_at;
    time_point next_stop_at;
    resources used;
    double share = 1.0;
};

struct batch_task
{
    std::uint32_t index = 0;
    task_phase phase = task_phase::waiting;
    // Number of the newest attempt. Invariant: only rises.
    std::uint32_t attempt = 0;
    // False only while no attempt can have run.
    bool may_have_run = false;
    bool ran_before_attempt = false;
    std::uint32_t evictions = 0;
    std::uint32_t failures = 0;
    double progress = 0.0;
    std::string checkpoint;
    // Invariant: empty unless the phase is intent or running.
    worker_id worker;
    // Version of the membership list that showed the worker.
    std::uint64_t list_version = 0;
    std::vector<worker_id> failed_on;

    attempt_runtime runtime;

    bool is_active() const
    {
        return phase == task_phase::intent || phase == task_phase::running;
    }
    bool is_over() const { return phase > task_phase::running; }
};

struct job_part
{
    job_submission job;
    time_point submitted_at;
    std::vector<batch_task> tasks; // by index
    bool cancelled = false;
    std::string failure; // why the part failed for good; else empty
    std::set<shard_id> moved_to;
    // Records up to this journal row are contained.
    std::uint64_t covered = 0;

    batch_task* find(std::uint32_t index);
    const batch_task* find(std::uint32_t index) const;
    bool is_over() const;
};

// Tasks that a submission or another shard hands to this shard.
struct part_bound
{
    job_part part;
};

struct start_intended
{
    job_id job;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;
    worker_id worker;
    std::uint64_t list_version = 0;
};

enum class attempt_end : std::uint8_t
{
    finished,
    failed,
    stopped,
    lost,  // its worker is gone or does not know it
    voided // it never started
};

struct attempt_ended
{
    job_id job;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;
    attempt_end how = attempt_end::lost;
    std::string checkpoint;
    double progress = 0.0;
    std::string error;
    // Failed only: the whole part is given up.
    bool for_good = false;
};

struct attempt_checkpointed
{
    job_id job;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;
    std::string checkpoint;
    double progress = 0.0;
};

struct part_cancelled
{
    job_id job;
};

struct tasks_moved
{
    job_id job;
    std::vector<std::uint32_t> indexes;
    shard_id to;
};

using journal_record =
    std::variant<part_bound, start_intended, attempt_ended,
                 attempt_checkpointed, part_cancelled, tasks_moved>;

const job_id& job_of(const journal_record& record);

// Applies the record to the part of its job; `part` may be empty before. A
// record that was applied before changes nothing.
void apply_record(std::optional<job_part>& part, const journal_record& record);

// Ends waiting tasks of a part that was cancelled or given up.
void close_waiting(job_part& part);

// Adds tasks of `more` that the part does not have.
void merge_tasks(job_part& part, const job_part& more);

std::string phase_name(const batch_task& task);

} // namespace hemlockdeal
