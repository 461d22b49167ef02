// The verbs of the tool. Each takes the arguments after its name, prints, and
// returns the exit code.
#pragma once

#include <string>
#include <vector>

#include "hemlockdealctl/exit_code.hpp"

namespace hemlockdeal
{

using arguments = std::vector<std::string>;

exit_code run_check(const arguments& given);
exit_code run_diff(const arguments& given);
exit_code run_apply(const arguments& given);
exit_code run_history(const arguments& given);
exit_code run_wait(const arguments& given);
exit_code run_zone(const arguments& given);
exit_code run_status(const arguments& given);
exit_code run_submit(const arguments& given);
exit_code run_job(const arguments& given);
exit_code run_cancel(const arguments& given);
exit_code run_timeline(const arguments& given);

} // namespace hemlockdeal
