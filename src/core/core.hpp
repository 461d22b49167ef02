// Public header of the core library: IDs, units, results, findings, the
// declaration, and the message types that the other libraries share. The
// library performs no I/O and reads no clock.
#pragma once

#include "core/action.hpp"
#include "core/bounded_ring.hpp"
#include "core/configuration_state.hpp"
#include "core/declaration.hpp"
#include "core/finding.hpp"
#include "core/hedge_schedule.hpp"
#include "core/ids.hpp"
#include "core/membership.hpp"
#include "core/membership_merge.hpp"
#include "core/operator_message.hpp"
#include "core/peer_message.hpp"
#include "core/resources.hpp"
#include "core/response_deadline.hpp"
#include "core/result.hpp"
#include "core/table.hpp"
#include "core/time.hpp"
#include "core/timeline_event.hpp"
#include "core/worker_message.hpp"
