// Public header of the request library, the core of the path between callers
// and endpoints. The library does no I/O and reads no clock: it takes events
// and the current time, and returns actions.
#pragma once

#include "request/request_action.hpp"
#include "request/request_core.hpp"
#include "request/request_event.hpp"
#include "request/request_policy.hpp"
#include "request/request_settings.hpp"
