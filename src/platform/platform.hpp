// Public header of the platform library: HTTP clients of the table service,
// the membership list and the workers. Each client runs in the thread that
// created it, which needs a Qt event loop, and calls back in that thread.
#pragma once

#include "platform/concepts.hpp"
#include "platform/http_caller.hpp"
#include "platform/malformed_member_log.hpp"
#include "platform/membership_age.hpp"
#include "platform/membership_client.hpp"
#include "platform/table_client.hpp"
#include "platform/worker_client.hpp"
