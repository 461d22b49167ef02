// Public header of the control library: state machines for the VM lease and the
// configuration. They perform no I/O.
#pragma once

#include "control/configuration_manager.hpp"
#include "control/configuration_row.hpp"
#include "control/vm_lease.hpp"
