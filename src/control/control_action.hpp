// Actions that the control library asks its owner to carry out.
#pragma once

#include <variant>

#include "core/core.hpp"

namespace hemlockdeal
{

// The daemon adopted this version.
struct configuration_adopted
{
    configuration_version version;
};

using control_action =
    std::variant<send_commit, read_row, read_rows, send_to_peer, record_event,
                 operator_answer, configuration_adopted>;

} // namespace hemlockdeal
