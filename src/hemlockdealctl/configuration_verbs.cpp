// Verbs apply, history, wait and zone: change the configuration and monitor
// changes.
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

#include <boost/json.hpp>

#include "hemlockdealctl/confirmation_wait.hpp"
#include "hemlockdealctl/current_configuration.hpp"
#include "hemlockdealctl/report.hpp"
#include "hemlockdealctl/verb_line.hpp"
#include "hemlockdealctl/verbs.hpp"
#include "settings/settings.hpp"

namespace hemlockdeal
{

namespace json = boost::json;

namespace
{

// Options shared by the verbs that change the configuration.
struct change_arguments
{
    explicit change_arguments(TCLAP::CmdLine& line)
        : wait("", "wait", "Waits until all daemons have confirmed.", line),
          wait_limit("", "wait-seconds",
                     "Maximum time to wait for confirmations (default 10).",
                     false, 10, "seconds", line),
          author("", "author",
                 "Author of the change (default: the current user).", false,
                 default_author(), "name", line),
          id("", "id",
             "Id of the change; set it to retry a change whose outcome is "
             "unknown.",
             false, "", "id", line),
          based_on("", "based-on",
                   "Version that the change is based on (default: the latest).",
                   false, -1, "version", line)
    {}

    change_options options(const verb_line& line)
    {
        return {wait.getValue(),
                std::chrono::seconds(checked_value(wait_limit, 0, 86'400)),
                line.json()};
    }

    configuration_change change(const configuration& current)
    {
        configuration_change change;
        change.id = id.isSet() ? checked_id("change", id.getValue())
                               : new_id("change-");
        change.based_on =
            based_on.isSet() ? configuration_version(static_cast<std::uint64_t>(
                                   checked_value(based_on, 0, 1LL << 53U)))
                             : current.version;
        change.author = author.getValue();
        change.text = current.text;
        change.zones_out = current.zones_out;
        return change;
    }

    TCLAP::SwitchArg wait;
    TCLAP::ValueArg<std::int64_t> wait_limit;
    TCLAP::ValueArg<std::string> author;
    TCLAP::ValueArg<std::string> id;
    TCLAP::ValueArg<std::int64_t> based_on;
};

std::string read_file(const std::string& file)
{
    std::ifstream stream(file, std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), {}};
}

// Removes zones that the new declaration no longer contains from the list of
// zones out of service.
void drop_undeclared_zones(configuration_change& change,
                           const declaration& content)
{
    std::erase_if(change.zones_out, [&](const availability_zone_id& zone) {
        const bool undeclared = !region_of(content, zone);
        if (undeclared)
        {
            std::cerr << "note: the zone '" << zone.value()
                      << "' was out of service and is no longer declared\n";
        }
        return undeclared;
    });
}

void print_zones(const configuration& current, bool as_json)
{
    json::array list;
    for (const availability_zone& zone : current.content.zones)
    {
        const bool out = is_out(current, zone.id);
        list.push_back({{"id", zone.id.value()},
                        {"region", zone.region.value()},
                        {"out", out}});
        if (!as_json)
        {
            std::cout << zone.id.value() << ' ' << zone.region.value() << ' '
                      << (out ? "out" : "in service") << '\n';
        }
    }
    if (as_json)
    {
        std::cout << json::object{{"version", current.version.value()},
                                  {"zones", list}}
                  << '\n';
    }
}

exit_code change_zone(operator_client& client, change_arguments& options,
                      const verb_line& line, const configuration& current,
                      const availability_zone_id& zone, bool out)
{
    if (!region_of(current.content, zone))
    {
        throw usage_error("the zone '" + zone.value() + "' is not declared");
    }
    configuration_change change = options.change(current);
    // With --id the change is sent even so: a retry may find that its first
    // attempt is already in effect.
    if (is_out(current, zone) == out && !options.id.isSet())
    {
        std::cerr << "the zone '" << zone.value() << "' is already "
                  << (out ? "out" : "in service") << " at version "
                  << current.version.value() << '\n';
        const change_options wait = options.options(line);
        return wait.wait ? wait_for_confirmations(client, current.version,
                                                  wait.wait_limit, wait.json)
                         : exit_code::done;
    }
    std::erase(change.zones_out, zone);
    if (out)
    {
        change.zones_out.push_back(zone);
    }
    return submit_change(client, change, options.options(line));
}

} // namespace

exit_code run_apply(const arguments& args)
{
    verb_line line("apply",
                   "Applies a declaration file as the new version. It is "
                   "accepted only if no other change has been accepted since "
                   "the version it is based on. Zones that are out of service "
                   "stay out.");
    TCLAP::UnlabeledValueArg<std::string> file("file", "Declaration, TOML.",
                                               true, "", "FILE", line.line());
    change_arguments options(line.line());
    line.parse(args);
    const std::string text = read_file(file.getValue());
    const auto parsed = std::filesystem::is_regular_file(file.getValue())
                            ? parse_declaration(text, file.getValue())
                            : load_declaration(file.getValue());
    if (const auto* const found = std::get_if<findings>(&parsed))
    {
        print_findings(*found);
        return exit_code::usage;
    }
    operator_client client = line.client();
    return with_current_configuration(
        client, [&](const configuration& current) {
            configuration_change change = options.change(current);
            change.text = text;
            drop_undeclared_zones(change, std::get<declaration>(parsed));
            return submit_change(client, change, options.options(line));
        });
}

exit_code run_history(const arguments& args)
{
    verb_line line("history", "Lists the latest versions of the declaration.");
    TCLAP::ValueArg<std::int64_t> limit("", "limit",
                                        "Number of versions (default 20).",
                                        false, 20, "number", line.line());
    line.parse(args);
    operator_client client = line.client();
    const client_response response = client.send_request(history_query{
        static_cast<std::uint32_t>(checked_value(limit, 1, 1000))});
    const auto* const entries =
        std::get_if<std::vector<history_entry>>(&response.reply);
    if (entries == nullptr)
    {
        return report_failure(response);
    }
    if (line.json())
    {
        std::cout << response.body << '\n';
        return exit_code::done;
    }
    for (const history_entry& entry : *entries)
    {
        std::cout << "version " << entry.version.value() << ' '
                  << to_utc(entry.accepted_at_unix_ms) << ' ' << entry.author;
        for (const availability_zone_id& zone : entry.zones_out)
        {
            std::cout << " out:" << zone.value();
        }
        std::cout << '\n';
    }
    return exit_code::done;
}

exit_code run_wait(const arguments& args)
{
    verb_line line("wait", "Waits until all daemons have confirmed a version, "
                           "and prints the state of each.");
    TCLAP::ValueArg<std::int64_t> version(
        "", "version", "Version to wait for (default: the latest).", false, -1,
        "version", line.line());
    TCLAP::ValueArg<std::int64_t> limit("", "wait-seconds",
                                        "Maximum time to wait (default 10).",
                                        false, 10, "seconds", line.line());
    line.parse(args);
    operator_client client = line.client();
    const std::chrono::seconds wait_limit(checked_value(limit, 0, 86'400));
    if (version.isSet())
    {
        return wait_for_confirmations(
            client,
            configuration_version(static_cast<std::uint64_t>(
                checked_value(version, 0, 1LL << 53U))),
            wait_limit, line.json());
    }
    return with_current_configuration(
        client, [&](const configuration& current) {
            return wait_for_confirmations(client, current.version, wait_limit,
                                          line.json());
        });
}

exit_code run_zone(const arguments& args)
{
    verb_line line("zone", "Lists the availability zones, takes one out of "
                           "service, or returns it.");
    std::vector<std::string> actions{"list", "out", "back"};
    TCLAP::ValuesConstraint<std::string> allowed(actions);
    TCLAP::UnlabeledValueArg<std::string> action(
        "action", "list, out or back.", true, "", &allowed, line.line());
    TCLAP::UnlabeledValueArg<std::string> zone(
        "zone", "Zone to take out or return.", false, "", "ZONE", line.line());
    change_arguments options(line.line());
    line.parse(args);
    const bool list = action.getValue() == "list";
    if (list == zone.isSet())
    {
        throw usage_error(list ? "'zone list' takes no zone argument"
                               : "missing argument: zone");
    }
    operator_client client = line.client();
    return with_current_configuration(
        client, [&](const configuration& current) {
            if (list)
            {
                print_zones(current, line.json());
                return exit_code::done;
            }
            return change_zone(client, options, line, current,
                               availability_zone_id(zone.getValue()),
                               action.getValue() == "out");
        });
}

} // namespace hemlockdeal
