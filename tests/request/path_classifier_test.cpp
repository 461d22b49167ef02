// Guards against requests that get the target or the retry rule of another
// class.
#include <gtest/gtest.h>

#include "request/request.hpp"
