// Polls the daemons' confirmations of a version.
#include "hemlockdealctl/confirmation_wait.hpp"

#include <algorithm>
#include <iostream>
#include <thread>
#include <vector>

#include "hemlockdealctl/report.hpp"

namespace hemlockdeal
{

namespace
{

using confirmations = std::vector<daemon_confirmation>;

constexpr std::chrono::milliseconds poll_interval(250);

bool all_confirmed(const confirmations& daemons, configuration_version version)
{
    return !daemons.empty() &&
           std::ranges::all_of(daemons, [&](const daemon_confirmation& c) {
               return c.reached && c.version >= version;
           });
}

void print(const client_response& response, const confirmations& daemons,
           configuration_version version, bool json)
{
    if (json)
    {
        std::cout << response.body << '\n';
        return;
    }
    for (const daemon_confirmation& c : daemons)
    {
        std::cout << c.vm.value() << " (" << c.zone.value()
                  << "): " << to_text(c, version) << '\n';
    }
}

} // namespace

exit_code wait_for_confirmations(operator_client& client,
                                 configuration_version version,
                                 std::chrono::seconds limit, bool json)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (true)
    {
        const client_response response =
            client.send_request(confirmations_query{});
        const auto* const daemons = std::get_if<confirmations>(&response.reply);
        const bool confirmed =
            daemons != nullptr && all_confirmed(*daemons, version);
        if (!confirmed && std::chrono::steady_clock::now() < end)
        {
            std::this_thread::sleep_for(poll_interval);
            continue;
        }
        if (daemons == nullptr)
        {
            return report_failure(response);
        }
        print(response, *daemons, version, json);
        if (!confirmed)
        {
            std::cerr << "version " << version.value()
                      << " is not confirmed by all daemons\n";
        }
        return confirmed ? exit_code::done : exit_code::not_reached;
    }
}

} // namespace hemlockdeal
