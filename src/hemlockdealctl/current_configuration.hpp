// Access to the current configuration of the daemons.
#pragma once

#include <chrono>
#include <functional>
#include <string>

#include "core/declaration.hpp"
#include "core/operator_message.hpp"
#include "hemlockdealctl/exit_code.hpp"
#include "hemlockdealctl/operator_client.hpp"

namespace hemlockdeal
{

// Reads the current configuration and passes it to `action`; it has version 0
// if none has been accepted yet. Prints the reason of a failure.
exit_code with_current_configuration(
    operator_client& client,
    const std::function<exit_code(const configuration&)>& action);

struct change_options
{
    bool wait = false;
    std::chrono::seconds wait_limit{};
    bool json = false;
};

// Sends a change and retries it with the same id while its outcome is unknown.
// Prints the outcome and, if requested, waits for the confirmations.
exit_code submit_change(operator_client& client,
                        const configuration_change& change,
                        const change_options& options);

// Creates a unique id for a change or a job.
std::string new_id(const std::string& prefix);

// The user name from the environment, or "unknown".
std::string default_author();

} // namespace hemlockdeal
