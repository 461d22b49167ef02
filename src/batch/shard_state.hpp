// State of one owned shard: parts, workers and journal, kept consistent by
// making every change through one function.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "batch/batch_context.hpp"
#include "batch/job_part.hpp"
#include "batch/shard_journal.hpp"
#include "batch/worker_ledger.hpp"
#include "core/core.hpp"

namespace hemlockdeal
{

// What a policy will learn, kept until the end of the event.
struct shard_observation
{
    job_submission job;
    std::uint32_t index = 0;
    worker_id worker;
    // Empty: only the worker's report is to be observed.
    std::optional<attempt_end> how;
    duration ran_for{};
    std::string error;
};

struct shard_state
{
    shard_state(batch_context& shared, shard_id shard, epoch taken_epoch,
                row_version row, time_point now);

    // Applies the change in memory and passes it to the journal.
    void change(journal_entry entry, urgency when, time_point now);
    void change(journal_record record, urgency when, time_point now);

    // Ends an active attempt.
    void end(const task_ref& ref, attempt_end how, time_point now,
             const task_status* status = nullptr);

    // Takes back a start that was not sent; true when the task waits again.
    bool withdraw(const task_ref& ref, time_point now);

    // Asks for a graceful stop of an active attempt.
    void stop(const task_ref& ref, time_point now);

    job_part* find_part(const job_id& job);

    bool may_act(time_point now) const
    {
        return active && !lost && context.may_act(now);
    }

    void record_event(std::string kind, const job_part& part,
                      const batch_task& task, std::string text = {});

    batch_context& context;
    const shard_id id;
    const epoch owner_epoch;
    const row_version version;
    const time_point acquired_at;

    // Set after recovery.
    bool active = false;
    time_point active_at;
    // Set when the shard has, or may have, another owner.
    bool lost = false;
    // Set before the shard is given back: no new work.
    bool releasing = false;

    shard_journal::book parts;
    worker_ledger ledger;
    shard_journal journal;
    std::vector<shard_observation> observations;
    // The policy is asked again at the next opportunity.
    bool placement_wanted = false;
};

} // namespace hemlockdeal
