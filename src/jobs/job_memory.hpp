// Estimates of the memory that accepted jobs take in the leader.
#pragma once

#include <cstddef>

#include "jobs/job.hpp"
#include "jobs/live_job.hpp"

namespace hemlockdeal::jobs
{

// Bytes that a job takes before any of its tasks has been ordered.
std::size_t memory_of(const job& definition);

// The same with the records of its tasks.
std::size_t memory_of(const live_job& owner);

} // namespace hemlockdeal::jobs
