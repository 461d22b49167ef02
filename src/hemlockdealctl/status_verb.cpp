// Verb status: shows targets, shards, peers and lease as seen by one daemon.
#include <iostream>

#include "hemlockdealctl/report.hpp"
#include "hemlockdealctl/verb_line.hpp"
#include "hemlockdealctl/verbs.hpp"

namespace hemlockdeal
{

namespace
{

void print(const class_status& c)
{
    std::cout << "class " << c.id.value() << ": target " << to_text(c.target)
              << " at " << c.percentile * 100.0 << "%, measured "
              << (c.measured ? to_text(*c.measured) : "nothing yet") << ", "
              << (c.met ? "met" : "NOT met");
    if (!c.reason.empty())
    {
        std::cout << ": " << c.reason;
    }
    std::cout << '\n';
}

void print(const shard_status& s)
{
    std::cout << "shard " << s.shard.zone.value() << '/' << s.shard.number
              << ": owner "
              << (s.owner.empty() ? std::string("none") : s.owner.value())
              << ", epoch " << s.owner_epoch.value() << ", free "
              << to_text(s.free) << ", " << s.workers << " workers ("
              << s.workers_quarantined << " quarantined), " << s.tasks_running
              << " tasks running, " << s.tasks_waiting << " waiting\n";
}

void print(const peer_status& p)
{
    std::cout << "peer " << p.vm.value() << " (" << p.zone.value()
              << "): " << (p.reachable ? "reachable" : "NOT reachable")
              << ", last heard " << to_text(p.last_heard) << " ago\n";
}

void print(const daemon_status& s)
{
    std::cout << s.vm.value() << " (" << s.zone.value() << "): lease "
              << (s.lease_valid ? "valid" : "NOT valid") << ", table "
              << (s.table_reachable ? "reachable" : "NOT reachable")
              << ", configuration version " << s.version.value() << ", "
              << (s.configuration_age
                      ? "confirmed " + to_text(*s.configuration_age) + " ago"
                      : "never confirmed")
              << '\n';
    for (const class_status& c : s.classes)
    {
        print(c);
    }
    for (const shard_status& shard : s.shards)
    {
        print(shard);
    }
    for (const peer_status& peer : s.peers)
    {
        print(peer);
    }
}

} // namespace

exit_code run_status(const arguments& args)
{
    verb_line line("status", "Shows targets, shards, peers and lease, as the "
                             "first daemon that answers knows them.");
    line.parse(args);
    operator_client client = line.client();
    const client_response response = client.send_request(status_query{});
    const auto* const status = std::get_if<daemon_status>(&response.reply);
    if (status == nullptr)
    {
        return report_failure(response);
    }
    if (line.json())
    {
        std::cout << response.body << '\n';
    }
    else
    {
        print(*status);
    }
    return exit_code::done;
}

} // namespace hemlockdeal
