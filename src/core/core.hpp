// Public header of the core library: ids, units, results, findings, the
// declaration, and the message types that the other libraries share. Nothing
// in this library does input or output or reads a clock.
#pragma once

#include "core/action.hpp"
#include "core/bounded_ring.hpp"
#include "core/configuration_state.hpp"
#include "core/declaration.hpp"
#include "core/finding.hpp"
#include "core/ids.hpp"
#include "core/membership.hpp"
#include "core/operator_message.hpp"
#include "core/peer_message.hpp"
#include "core/resources.hpp"
#include "core/result.hpp"
#include "core/table.hpp"
#include "core/time.hpp"
#include "core/timeline_event.hpp"
#include "core/worker_message.hpp"
