// Public header of the node library: the job requests that an entry VM serves,
// and its work as the leader. Store and workers are template parameters.
#pragma once

#include "node/concepts.hpp"
#include "node/declaration_budget.hpp"
#include "node/job_frontend.hpp"
#include "node/leader_role.hpp"
#include "node/operator_watch.hpp"
#include "node/poll_margin.hpp"
#include "node/row_barrier.hpp"
#include "node/row_pages.hpp"
#include "node/store_health.hpp"
#include "node/store_message.hpp"
