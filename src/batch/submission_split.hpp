// Splits a job over the shards that can run it, by free capacity.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "batch/batch_codec.hpp"
#include "batch/batch_context.hpp"

namespace hemlockdeal
{

// Why no worker can ever run a task of the job; empty when one can.
std::string reason_never_to_run(const batch_context& context,
                                const job_submission& job);

// Parts that together hold every task once. Reserves the capacity in the known
// digests, so that the next job of this daemon goes elsewhere.
std::vector<job_row_part> split_job(batch_context& context,
                                    const job_submission& job, time_point now);

} // namespace hemlockdeal
