// Public header of the stand-ins: test doubles of the platform's services over
// real sockets, with faults that can be switched on, and a record of what
// happened that does not depend on what the daemons report.
#pragma once

#include "standin/endpoint_farm.hpp"
#include "standin/endpoint_standin.hpp"
#include "standin/fault_set.hpp"
#include "standin/http_server.hpp"
#include "standin/membership_standin.hpp"
#include "standin/platform_standin.hpp"
#include "standin/run_record.hpp"
#include "standin/table_standin.hpp"
#include "standin/worker_standin.hpp"
