// Prints outcomes and maps them to exit codes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/finding.hpp"
#include "core/operator_message.hpp"
#include "hemlockdealctl/exit_code.hpp"
#include "hemlockdealctl/operator_client.hpp"

namespace hemlockdeal
{

// Prints an answer that is an error or a lost race; done for all others.
exit_code report_failure(const client_answer& answer);

// One line a finding, on the standard error stream.
void print_findings(const findings& found);

// UTC time of the form 2026-12-04T05:20:10.234Z.
std::string to_utc(std::int64_t unix_ms);

// For example "800 ms" or "6 h".
std::string to_text(duration time);

// For example "4 processors, 8192 MB" and the accelerators, if any.
std::string to_text(const resources& amounts);

// "confirmed at version 8", "at version 7" or "not reached; starts nothing
// new after ...". `version` is what is waited for.
std::string to_text(const daemon_confirmation& c,
                    configuration_version version);

} // namespace hemlockdeal
