// Conversion between the state of a job's tasks and its stored progress.
#pragma once

#include <cstdint>
#include <vector>

#include "jobs/job_progress.hpp"
#include "jobs/live_job.hpp"

namespace hemlockdeal::jobs
{

// Adds the tasks of an active occurrence to the progress.
void add_active(std::uint32_t occurrence, const std::vector<step>& steps,
                const occurrence_record& record, job_progress& to);
// Adds all tasks of a finished occurrence to the progress.
void add_finished(std::uint32_t occurrence, const std::vector<step>& steps,
                  job_progress& to);
// Restores the records of the tasks that the progress lists.
void restore_tasks(live_job& owner, const job_progress& progress);

} // namespace hemlockdeal::jobs
