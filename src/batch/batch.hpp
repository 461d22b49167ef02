// Public header of the batch library: shard ownership, the journalled life
// cycle of jobs, and placement on the workers of owned shards.
#pragma once

#include "batch/batch_action.hpp"
#include "batch/batch_core.hpp"
#include "batch/batch_options.hpp"
#include "batch/first_fit_policy.hpp"
#include "batch/placement_policy.hpp"
#include "batch/target_policy.hpp"
