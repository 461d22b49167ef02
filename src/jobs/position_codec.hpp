// Stored forms of sets of tasks of one job.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include "jobs/job_progress.hpp"

namespace hemlockdeal::jobs
{

using task_positions = std::vector<job_progress::task_position>;

boost::json::array to_json(const job_progress::task_position& position);
// Reads the first three entries of the row.
std::optional<job_progress::task_position>
to_position(const boost::json::array& row);

// One entry for each step and occurrence with a task in the set. Its size grows
// with the number of occurrences.
boost::json::array encode_by_step(const task_positions& positions);
// False if the list is malformed.
bool decode_by_step(const boost::json::array& in, task_positions& positions);

// One bit for each task of the job, where occurrences follow each other, and
// equal digits are stored once with their number. Its size is bounded by the
// number of tasks of a job, and mostly follows the number of tasks in progress.
std::string encode_as_bits(const task_positions& positions,
                           const std::vector<std::uint32_t>& step_sizes);
// False if the text is malformed.
bool decode_bits(std::string_view text,
                 const std::vector<std::uint32_t>& step_sizes,
                 task_positions& positions);

} // namespace hemlockdeal::jobs
