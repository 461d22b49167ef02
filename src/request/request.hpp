// Public header of the request library: the core of the path between callers
// and endpoints. Nothing in this library does input or output or reads a
// clock; it takes events and time and returns actions.
#pragma once

#include "request/request_action.hpp"
#include "request/request_core.hpp"
#include "request/request_event.hpp"
#include "request/request_policy.hpp"
#include "request/request_settings.hpp"
