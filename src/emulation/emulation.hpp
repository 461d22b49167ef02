// Public header of the emulation: a fleet without network or faults under the
// real scheduler, in simulated time.
#pragma once

#include "emulation/load_simulation.hpp"
