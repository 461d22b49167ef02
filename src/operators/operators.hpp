// Public header of the operators library: the operators' HTTP server and the
// JSON of its requests and replies, which the tool shares.
#pragma once

#include "operators/operator_json.hpp"
#include "operators/operator_server.hpp"
