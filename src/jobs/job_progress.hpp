// What must outlive the VM that decides about a job.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jobs/row_limit.hpp"

namespace hemlockdeal::jobs
{

enum class job_state
{
    queued,
    running,
    completed,
    failed,
    cancelled
};

bool is_final(job_state state);
std::string_view to_text(job_state state);
std::optional<job_state> parse_job_state(std::string_view text);

// Stored before a worker is told that its results were taken, so that a task
// whose end a worker has forgotten is known to a later leader.
struct job_progress
{
    // Occurrence, step and index of a task.
    struct task_position
    {
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        std::uint32_t index = 0;

        friend auto operator<=>(const task_position&,
                                const task_position&) = default;
    };

    struct task_history
    {
        // Numbers of the runs that failed, ascending.
        std::vector<std::uint32_t> failed_runs;
        std::string checkpoint;
    };

    job_state state = job_state::queued;
    bool has_started = false;
    std::vector<task_position> done;
    // Tasks that are not done and may have been ordered to a worker: the
    // leader starts no other ones before the store names them here, and none
    // of a job without a row. Without this list any task may have been ordered.
    std::optional<std::vector<task_position>> ordered;
    std::map<task_position, task_history> histories;
};

// Change sets are numbered from here; the rows that a leader finds count as
// this set, which is stored.
constexpr std::uint64_t recovered_set = 1;

// A text of at most `max_bytes` if that is possible at all: checkpoints
// that do not fit are left out, and then failures.
std::string encode_progress(const job_progress& progress,
                            std::size_t max_bytes = default_row_limit);
std::optional<job_progress> decode_progress(std::string_view text);

} // namespace hemlockdeal::jobs
