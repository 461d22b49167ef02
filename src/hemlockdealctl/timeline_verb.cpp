// Verb timeline: merges the events of all daemons.
#include <algorithm>
#include <fstream>
#include <iostream>

#include <QUrl>
#include <QUrlQuery>

#include <boost/json.hpp>

#include "hemlockdealctl/report.hpp"
#include "hemlockdealctl/verb_line.hpp"
#include "hemlockdealctl/verbs.hpp"
#include "observe/chrome_trace.hpp"
#include "observe/timeline.hpp"
#include "settings/settings.hpp"

namespace hemlockdeal
{

namespace json = boost::json;

namespace
{

struct filter_arguments
{
    explicit filter_arguments(TCLAP::CmdLine& line)
        : job("", "job", "Only events of this job.", false, "", "id", line),
          request("", "request", "Only events of this request.", false, "",
                  "id", line),
          vm("", "vm", "Only events of this VM.", false, "", "id", line),
          zone("", "zone", "Only events of this zone.", false, "", "id", line)
    {}

    std::string target()
    {
        QUrlQuery query;
        const auto add = [&](TCLAP::ValueArg<std::string>& argument) {
            if (argument.isSet())
            {
                query.addQueryItem(
                    QString::fromStdString(argument.getName()),
                    QString::fromLatin1(QUrl::toPercentEncoding(
                        QString::fromStdString(argument.getValue()))));
            }
        };
        add(job);
        add(request);
        add(vm);
        add(zone);
        return "/v1/timeline?" +
               query.toString(QUrl::FullyEncoded).toStdString();
    }

    TCLAP::ValueArg<std::string> job;
    TCLAP::ValueArg<std::string> request;
    TCLAP::ValueArg<std::string> vm;
    TCLAP::ValueArg<std::string> zone;
};

struct timeline_collection
{
    std::vector<timeline_part> parts;
    std::vector<std::string> missing;
};

// The daemons given on the command line and the peers listed by the first
// daemon that responds.
std::vector<socket_address> all_daemons(operator_client& client,
                                        timeline_collection& result)
{
    std::vector<socket_address> daemons = client.daemons();
    const client_response response = client.send_request(status_query{});
    const auto* const status = std::get_if<daemon_status>(&response.reply);
    if (status == nullptr)
    {
        result.missing.emplace_back(
            "the list of daemons: status was not answered");
        return daemons;
    }
    for (const peer_status& peer : status->peers)
    {
        const auto address = parse_address(peer.operators);
        if (!address)
        {
            result.missing.push_back(peer.vm.value() +
                                     ": its operators' address is not known");
        }
        else if (std::ranges::find(daemons, *address) == daemons.end())
        {
            daemons.push_back(*address);
        }
    }
    return daemons;
}

timeline_collection collect_timelines(operator_client& client,
                                      const std::string& target)
{
    timeline_collection result;
    for (const socket_address& daemon : all_daemons(client, result))
    {
        const auto body = client.fetch(daemon, target);
        if (!is_ok(body))
        {
            result.missing.push_back("not reached: " + error_of(body).message);
            continue;
        }
        auto part = read_timeline(value_of(body));
        if (const auto* const found = std::get_if<findings>(&part))
        {
            result.missing.push_back(to_text(daemon) +
                                     ": the response cannot be read");
            print_findings(*found);
            continue;
        }
        result.parts.push_back(std::get<timeline_part>(std::move(part)));
    }
    return result;
}

void print_json(const timeline_collection& result,
                const std::vector<timeline_event>& events)
{
    timeline_part merged;
    merged.events = events;
    json::value body = json::parse(to_json_text(merged));
    json::object& object = body.as_object();
    object.erase("vm");
    object["missing"] = json::value_from(result.missing);
    std::uint64_t overwritten = 0;
    for (const timeline_part& part : result.parts)
    {
        overwritten += part.overwritten;
    }
    object["overwritten"] = overwritten;
    std::cout << body << '\n';
}

void report_missing_parts(const timeline_collection& result)
{
    for (const std::string& missing : result.missing)
    {
        std::cerr << "missing: " << missing << '\n';
    }
    for (const timeline_part& part : result.parts)
    {
        if (part.overwritten != 0)
        {
            std::cerr << "missing: " << part.overwritten << " older events of "
                      << part.vm << " were overwritten\n";
        }
    }
}

void write_chrome_trace(const std::string& file,
                        const std::vector<timeline_event>& events)
{
    std::ofstream stream(file, std::ios::binary);
    stream << chrome_trace(events);
    if (!stream.flush())
    {
        throw usage_error("the file '" + file + "' cannot be written");
    }
}

} // namespace

exit_code run_timeline(const arguments& args)
{
    verb_line line("timeline",
                   "Merges the events of all daemons in the order of their "
                   "stamps, and says which part is missing.");
    filter_arguments filter(line.line());
    TCLAP::ValueArg<std::string> chrome(
        "", "chrome", "Writes Chrome trace JSON to this file instead.", false,
        "", "file", line.line());
    line.parse(args);
    operator_client client = line.client();
    const timeline_collection result =
        collect_timelines(client, filter.target());
    const auto events = merge_timelines(result.parts);
    if (chrome.isSet())
    {
        write_chrome_trace(chrome.getValue(), events);
    }
    else if (line.json())
    {
        print_json(result, events);
    }
    else
    {
        for (const timeline_event& event : events)
        {
            std::cout << to_text(event) << '\n';
        }
    }
    report_missing_parts(result);
    return result.missing.empty() ? exit_code::done : exit_code::not_reached;
}

} // namespace hemlockdeal
