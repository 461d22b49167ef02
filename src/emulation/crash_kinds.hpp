// Named sets of options of the crash simulation, each with one kind of crash
// or of other fault.
#pragma once

#include <string>
#include <vector>

#include "emulation/crash_options.hpp"

namespace hemlockdeal::emulation
{

struct crash_kind
{
    std::string name;
    crash_options options;
};

const std::vector<crash_kind>& crash_kinds();

} // namespace hemlockdeal::emulation
