// Public header of the operators library: the operators' HTTP server and the
// JSON encoding of its requests and replies, which hemlockdealctl also uses.
#pragma once

#include "operators/operator_json.hpp"
#include "operators/operator_server.hpp"
