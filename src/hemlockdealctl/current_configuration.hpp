// The configuration that the daemons hold, and changes to it.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "core/declaration.hpp"
#include "core/operator_message.hpp"
#include "hemlockdealctl/exit_code.hpp"
#include "hemlockdealctl/operator_client.hpp"

namespace hemlockdeal
{

// Reads the configuration; version 0 when none was accepted yet. Reports a
// failure in `code` and returns nothing.
std::optional<configuration> read_current(operator_client& client,
                                          exit_code& code);

struct change_options
{
    bool wait = false;
    std::chrono::seconds wait_limit{};
    bool json = false;
};

// Sends the change, repeats it with the same id while its outcome is unknown,
// prints the outcome, and waits for the confirmations if wanted.
exit_code send_change(operator_client& client,
                      const configuration_change& change,
                      const change_options& options);

// Unique id for a change or a job.
std::string new_id(const std::string& prefix);

// Name of the user who runs the tool.
std::string default_author();

} // namespace hemlockdeal
