// Waits until all daemons have confirmed a configuration version.
#pragma once

#include "core/ids.hpp"
#include "hemlockdealctl/exit_code.hpp"
#include "hemlockdealctl/verb_line.hpp"

namespace hemlockdeal
{

// Prints the final state of every daemon. Returns done only if all daemons have
// confirmed `version` or a newer one, and not_reached if some have not. If the
// last poll fails, reports the failure and returns its exit code.
exit_code wait_for_confirmations(operator_client& client,
                                 configuration_version version,
                                 std::chrono::seconds limit, bool json);

} // namespace hemlockdeal
