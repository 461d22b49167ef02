// Public header of the node library: what an entry VM does for callers, and
// what it does while it leads. Store and workers are template parameters.
#pragma once

#include "node/concepts.hpp"
#include "node/job_frontend.hpp"
#include "node/leader_duty.hpp"
#include "node/operator_watch.hpp"
#include "node/store_health.hpp"
#include "node/store_message.hpp"
