// Stored form of the failures, crashes and checkpoints of tasks.
#pragma once

#include <cstddef>

#include <boost/json.hpp>

#include "jobs/job_progress.hpp"

namespace hemlockdeal::jobs
{

// Adds the members that hold the histories. Checkpoints are omitted if the
// object would exceed `max_bytes`: they only save work. Failures and crashes
// bound the number of attempts and are always stored.
void add_histories(boost::json::object& out,
                   const job_progress::history_map& histories,
                   std::size_t max_bytes);

// False if a member is malformed.
bool read_histories(const boost::json::object& in,
                    job_progress::history_map& histories);

} // namespace hemlockdeal::jobs
