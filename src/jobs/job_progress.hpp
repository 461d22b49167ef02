// Progress of a job that must survive a change of leader.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/core.hpp"
#include "jobs/crash_history.hpp"
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

// Stored before a worker's results are acknowledged, so that a later leader
// knows of finished tasks that the worker has since forgotten.
struct job_progress
{
    // Position of a task in its job.
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
        crash_history crashes{};

        friend bool operator==(const task_history&,
                               const task_history&) = default;
    };

    using history_map = std::map<task_position, task_history>;

    job_state state = job_state::queued;
    bool has_started = false;
    // Number of tasks of each step. Set for a job with repetition: its sets of
    // tasks are stored in a form that does not grow with its occurrences.
    std::vector<std::uint32_t> step_sizes{};
    std::vector<task_position> done{};
    // Unfinished tasks that may have been ordered to a worker. The leader
    // starts a task only after the store lists it here, and none of a job
    // without a row. If the list is absent, any task may have been ordered.
    std::optional<std::vector<task_position>> ordered{};
    history_map histories{};
    // Of a client account's job that has ended: tasks whose runs may still be
    // on workers, and when the job ended by the store's clock, if it is known.
    std::vector<task_position> ending{};
    std::optional<store_time> ended_at{};
    // Numbers of the stored rows that hold histories beside the main row.
    std::set<std::uint32_t> history_rows{};
};

// Number of the change set that stands for the rows that a new leader finds,
// which are already stored. Its own change sets have higher numbers.
constexpr std::uint64_t recovered_set = 1;

// Encodes the progress in at most `max_bytes` if possible: checkpoints that do
// not fit are omitted.
std::string encode_progress(const job_progress& progress,
                            std::size_t max_bytes = default_row_limit);
std::optional<job_progress> decode_progress(std::string_view text);

// The same for the histories of some tasks in a row of their own.
std::string encode_histories(const job_progress::history_map& histories,
                             std::size_t max_bytes = default_row_limit);
// Adds the histories; false if the text is malformed.
bool decode_histories(std::string_view text,
                      job_progress::history_map& histories);

} // namespace hemlockdeal::jobs
