// Waits until all daemons have confirmed a version.
#pragma once

#include "core/ids.hpp"
#include "hemlockdealctl/exit_code.hpp"
#include "hemlockdealctl/verb_line.hpp"

namespace hemlockdeal
{

// Prints the state of every daemon at the end. Returns done only when all
// have confirmed `version` or a newer one, and not_reached otherwise.
exit_code wait_for_confirmations(operator_client& client,
                                 configuration_version version,
                                 std::chrono::seconds limit, bool json);

} // namespace hemlockdeal
