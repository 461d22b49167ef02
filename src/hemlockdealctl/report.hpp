// Prints results and errors and maps them to exit codes.
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

// Prints a response that is an error or a version conflict and returns its exit
// code. Returns done for all other responses.
exit_code report_failure(const client_response& response);

// Prints each finding on a line of its own to the standard error stream.
void print_findings(const findings& found);

// Formats a UTC time, for example 2026-12-04T05:20:10.234Z.
std::string to_utc(std::int64_t unix_ms);

// For example "800 ms" or "6 h".
std::string to_text(duration time);

// For example "4 processors, 8192 MB", followed by the accelerators, if any.
std::string to_text(const resources& amounts);

// "confirmed at version 8", "reached, still at version 7" or "not reached;
// starts nothing new after ...". `version` is the version to be confirmed.
std::string to_text(const daemon_confirmation& c,
                    configuration_version version);

} // namespace hemlockdeal
