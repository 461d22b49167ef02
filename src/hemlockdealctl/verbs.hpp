// The verbs of hemlockdealctl. Each takes the arguments after the verb's name,
// prints its output and returns the exit code.
#pragma once

#include <string>
#include <vector>

#include "hemlockdealctl/exit_code.hpp"

namespace hemlockdeal
{

using arguments = std::vector<std::string>;

exit_code run_check(const arguments& args);
exit_code run_diff(const arguments& args);
exit_code run_apply(const arguments& args);
exit_code run_history(const arguments& args);
exit_code run_wait(const arguments& args);
exit_code run_zone(const arguments& args);
exit_code run_status(const arguments& args);
exit_code run_submit(const arguments& args);
exit_code run_job(const arguments& args);
exit_code run_cancel(const arguments& args);
exit_code run_timeline(const arguments& args);

} // namespace hemlockdeal
