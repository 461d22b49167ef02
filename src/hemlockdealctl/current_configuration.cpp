// Reads the current configuration and sends changes to it.
#include "hemlockdealctl/current_configuration.hpp"

#include <cstdlib>
#include <iostream>

#include <QUuid>

#include "hemlockdealctl/confirmation_wait.hpp"
#include "hemlockdealctl/report.hpp"

namespace hemlockdeal
{

exit_code with_current_configuration(
    operator_client& client,
    const std::function<exit_code(const configuration&)>& action)
{
    const client_response response = client.send_request(configuration_query{});
    if (const auto* const c = std::get_if<configuration>(&response.reply))
    {
        return action(*c);
    }
    const auto* const e = std::get_if<error>(&response.reply);
    if (response.reached && e != nullptr && e->code == error_code::not_found)
    {
        return action(configuration{});
    }
    return report_failure(response);
}

exit_code submit_change(operator_client& client,
                        const configuration_change& change,
                        const change_options& options)
{
    const client_response response = client.send_with_retries(change);
    const auto* const accepted = std::get_if<change_accepted>(&response.reply);
    if (accepted == nullptr)
    {
        const exit_code code = report_failure(response);
        if (code == exit_code::outcome_unknown)
        {
            std::cerr << "to retry this change: --id " << change.id
                      << " --based-on " << change.based_on.value() << '\n';
        }
        return code;
    }
    if (options.json && !options.wait)
    {
        std::cout << response.body << '\n';
    }
    else if (!options.json)
    {
        std::cout << "accepted as version " << accepted->version.value()
                  << std::endl;
    }
    return options.wait
               ? wait_for_confirmations(client, accepted->version,
                                        options.wait_limit, options.json)
               : exit_code::done;
}

std::string new_id(const std::string& prefix)
{
    return prefix +
           QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
}

std::string default_author()
{
    const char* const user = std::getenv("USER");
    return user == nullptr || *user == '\0' ? "unknown" : user;
}

} // namespace hemlockdeal
