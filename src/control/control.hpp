// Public header of the control library: the VM's lease and the configuration,
// as state machines without input or output.
#pragma once

#include "control/configuration_manager.hpp"
#include "control/configuration_row.hpp"
#include "control/vm_lease.hpp"
