// Actions that the batch core asks the daemon to carry out.
#pragma once

#include <cstdint>
#include <variant>

#include "core/action.hpp"
#include "core/operator_message.hpp"

namespace hemlockdeal
{

using batch_action =
    std::variant<send_commit, read_row, read_rows, ask_for_report,
                 send_commands, send_to_peer, record_event, operator_answer>;

} // namespace hemlockdeal
