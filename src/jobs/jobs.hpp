// Public header of the job scheduler: jobs of steps of tasks, their placement
// on workers, and the election of the leader that makes the decisions.
#pragma once

#include "jobs/advice_cache.hpp"
#include "jobs/fleet_record.hpp"
#include "jobs/job.hpp"
#include "jobs/job_memory.hpp"
#include "jobs/job_progress.hpp"
#include "jobs/leadership.hpp"
#include "jobs/order.hpp"
#include "jobs/queue_directory.hpp"
#include "jobs/quota/account_limits.hpp"
#include "jobs/quota/account_report.hpp"
#include "jobs/scheduler.hpp"
#include "jobs/scheduler_options.hpp"
#include "jobs/store_clock.hpp"
#include "jobs/worker_report.hpp"
