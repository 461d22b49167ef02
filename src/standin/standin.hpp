// Public header of the stand-ins: test doubles of the platform's services over
// real sockets, with fault injection and a record of events that is independent
// of what the daemons report.
#pragma once

#include "standin/endpoint_farm.hpp"
#include "standin/endpoint_standin.hpp"
#include "standin/fault_set.hpp"
#include "standin/http_server.hpp"
#include "standin/membership_standin.hpp"
#include "standin/platform_standin.hpp"
#include "standin/run_record.hpp"
#include "standin/table_standin.hpp"
#include "standin/transfer_rate.hpp"
#include "standin/worker_standin.hpp"
