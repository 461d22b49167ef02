// Reads and checks declarations.
#include <algorithm>
#include <cmath>
#include <optional>

#include "settings/settings.hpp"
#include "settings/table_reader.hpp"
#include "settings/text_checks.hpp"

namespace hemlockdeal
{

namespace
{

using namespace std::chrono_literals;

// Latency targets below 1 ms are below the network's latency; batch targets
// cover jobs of several weeks.
constexpr duration min_latency_target = 1ms;
constexpr duration max_latency_target = 10min;
constexpr duration min_batch_target = 1s;
constexpr duration max_batch_target = 24h * 90;

// Reports `id` when an earlier entry has it.
template <typename Entries, typename Id, typename Member>
void check_duplicate(table_reader& table, std::string_view what,
                     const Entries& entries, const Id& id, Member member)
{
    if (!id.empty() && std::ranges::find(entries, id, member) != entries.end())
    {
        table.add("id", "the " + std::string(what) + " '" + id.value() +
                            "' is declared twice");
    }
}

void read_zones(table_reader& root, declaration& d)
{
    for (table_reader& table : root.tables("zone", true))
    {
        availability_zone zone;
        zone.id = availability_zone_id(table.id("id"));
        zone.region = region_id(table.id("region"));
        table.finish();
        check_duplicate(table, "zone", d.zones, zone.id,
                        &availability_zone::id);
        d.zones.push_back(std::move(zone));
    }
}

std::optional<class_kind> read_kind(table_reader& table)
{
    const std::string kind = table.text("kind");
    if (kind == "latency_critical")
    {
        return class_kind::latency_critical;
    }
    if (kind == "batch")
    {
        return class_kind::batch;
    }
    if (!kind.empty())
    {
        std::string message =
            "'class.kind' is neither \"latency_critical\" nor \"batch\"";
        if (const auto nearest =
                nearest_name(kind, {"latency_critical", "batch"}))
        {
            message += "; did you mean \"" + *nearest + "\"?";
        }
        table.add("kind", std::move(message));
    }
    return std::nullopt;
}

work_class read_class(table_reader& table)
{
    work_class read;
    read.id = class_id(table.id("id"));
    const auto kind = read_kind(table);
    read.kind = kind.value_or(class_kind::batch);
    const bool critical = kind == class_kind::latency_critical;
    read.target =
        table.time("target", critical ? min_latency_target : min_batch_target,
                   critical ? max_latency_target : max_batch_target);
    read.percentile = table.number("percentile", 1.0, 99.999, 99.0) / 100.0;
    // There is no default for requests: a wrong one would run them twice.
    read.idempotent = table.flag(
        "idempotent", critical ? std::nullopt : std::optional<bool>(true));
    read.cross_region = table.flag("cross_region", false);
    read.urgent = table.flag("urgent", false);
    table.finish();
    return read;
}

void read_classes(table_reader& root, declaration& d)
{
    for (table_reader& table : root.tables("class", true))
    {
        work_class read = read_class(table);
        check_duplicate(table, "class", d.classes, read.id, &work_class::id);
        d.classes.push_back(std::move(read));
    }
}

void read_teams(table_reader& root, declaration& d)
{
    double sum = 0;
    for (table_reader& table : root.tables("team"))
    {
        team read;
        read.id = team_id(table.id("id"));
        read.quota_percent = table.number("quota_percent", 0.0, 100.0);
        table.finish();
        check_duplicate(table, "team", d.teams, read.id, &team::id);
        const double before = sum;
        sum += read.quota_percent;
        // The margin covers the rounding of sums such as 3 x 33.3 + 0.1.
        if (before <= 100.0 + 1e-6 && sum > 100.0 + 1e-6)
        {
            table.add("quota_percent",
                      "the quotas of the teams sum up to more than 100% from "
                      "here on");
        }
        d.teams.push_back(std::move(read));
    }
}

bool is_routed(const declaration& d, const service& current,
               const std::string& prefix)
{
    const auto routes_it = [&](const service& s) {
        return std::ranges::find(s.routes, prefix, &route::path_prefix) !=
               s.routes.end();
    };
    return routes_it(current) || std::ranges::any_of(d.services, routes_it);
}

void check_route_class(table_reader& table, const declaration& d,
                       const class_id& id, bool incomplete)
{
    const work_class* const known = find_class(d, id);
    if (known != nullptr)
    {
        if (known->kind != class_kind::latency_critical)
        {
            table.add("class", "the class '" + id.value() +
                                   "' of the route is not latency_critical");
        }
        return;
    }
    // The class may be in the part that could not be read.
    if (id.empty() || incomplete || d.classes.empty())
    {
        return;
    }
    std::vector<std::string> names;
    std::ranges::transform(d.classes, std::back_inserter(names),
                           [](const work_class& c) { return c.id.value(); });
    std::string message =
        "the route names the unknown class '" + id.value() + "'";
    if (const auto nearest = nearest_name(id.value(), names))
    {
        message += "; did you mean '" + *nearest + "'?";
    }
    table.add("class", std::move(message));
}

void read_routes(table_reader& service_table, const declaration& d,
                 service& read, bool incomplete)
{
    for (table_reader& table : service_table.tables("routes"))
    {
        route r;
        r.path_prefix = table.text("path_prefix");
        r.work_class = class_id(table.id("class"));
        table.finish();
        if (!r.path_prefix.empty() && r.path_prefix.front() != '/')
        {
            table.add("path_prefix",
                      "'" + r.path_prefix + "' does not begin with '/'");
        }
        if (!r.path_prefix.empty() && is_routed(d, read, r.path_prefix))
        {
            table.add("path_prefix", "the path prefix '" + r.path_prefix +
                                         "' is routed twice");
        }
        check_route_class(table, d, r.work_class, incomplete);
        read.routes.push_back(std::move(r));
    }
}

service read_service(table_reader& table, const declaration& d, bool incomplete)
{
    service read;
    read.id = service_id(table.id("id"));
    read.instances =
        static_cast<std::uint32_t>(table.integer("instances", {1, 100'000}));
    read.slots = static_cast<std::uint32_t>(
        table.integer("slots", {1, 10'000}, read.slots));
    read.connections = static_cast<std::uint32_t>(
        table.integer("connections", {1, 100'000}, read.connections));
    read.size.processors.value =
        table.integer("processors_milli", {1, 1'000'000});
    read.size.memory.value = table.integer("memory_mb", {1, 100'000'000});
    read.size.accelerators.value = table.integer("accelerators", {0, 1000}, 0);
    read_routes(table, d, read, incomplete);
    table.finish();
    if (read.connections < read.slots)
    {
        table.add("connections",
                  "'service.connections' is below 'service.slots'");
    }
    return read;
}

void read_services(table_reader& root, declaration& d, bool incomplete)
{
    for (table_reader& table : root.tables("service"))
    {
        service read = read_service(table, d, incomplete);
        check_duplicate(table, "service", d.services, read.id, &service::id);
        d.services.push_back(std::move(read));
    }
}

void read_link(table_reader& root, region_link& link)
{
    if (auto table = root.table("link", false))
    {
        const double megabits =
            table->number("megabits_per_second", 0.1, 1e6,
                          static_cast<double>(link.bits_per_second) / 1e6);
        link.bits_per_second =
            static_cast<std::uint64_t>(std::llround(megabits * 1e6));
        table->finish();
    }
}

} // namespace

declaration_result parse_declaration(std::string_view text,
                                     const std::string& file)
{
    finding_list found(file);
    const toml::table document = parse_document(text, found);
    table_reader root(document, "", found);
    declaration d;
    read_zones(root, d);
    read_classes(root, d);
    read_teams(root, d);
    read_services(root, d, found.incomplete());
    read_link(root, d.link);
    root.finish();
    if (!found.empty())
    {
        return found.take();
    }
    return d;
}

declaration_result load_declaration(const std::filesystem::path& path)
{
    finding_list found(path.string());
    const auto text = read_file(path.string(), found);
    return text ? parse_declaration(*text, path.string())
                : declaration_result(found.take());
}

} // namespace hemlockdeal
