// Public header of the overload library: decisions on what is delayed when
// there is too little room.
#pragma once

#include "overload/cost_order.hpp"
